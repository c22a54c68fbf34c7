package cacheproxy.simulator;

/** Thrown for malformed simulator input or settings; the message says what is wrong and where. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}

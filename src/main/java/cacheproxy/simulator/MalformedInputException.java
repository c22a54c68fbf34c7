package cacheproxy.simulator;

/** Input of the simulator, or settings, that can't be read; the message names what is wrong, and where. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}

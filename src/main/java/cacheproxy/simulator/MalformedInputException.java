package cacheproxy.simulator;

/** Input that is not the wire's; the message names what and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}

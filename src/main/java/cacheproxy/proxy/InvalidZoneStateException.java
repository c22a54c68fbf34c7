package cacheproxy.proxy;

/** A stored state of a zone that can't be read. */
final class InvalidZoneStateException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** {@code message}: of which zone, what was found and what was expected. */
    InvalidZoneStateException(String message) {
        super(message);
    }
}

package cacheproxy.proxy;

/** Thrown if the stored state of a zone is invalid. */
final class InvalidZoneStateException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** {@code message}: the zone, what was found and what was expected. */
    InvalidZoneStateException(String message) {
        super(message);
    }
}

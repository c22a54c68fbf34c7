package cacheproxy.proxy.discovery;

/** A field of an endpoint list, or of one of its entries, that can't be used. */
final class InvalidFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Says where, and what was expected.
     *
     * @param place whose field: {@code host NAME}, or the list's
     * @param problem which field, what was expected and what was found
     */
    InvalidFieldException(String place, String problem) {
        super(place + ": " + problem);
    }

    InvalidFieldException(String place, String problem, Throwable cause) {
        super(place + ": " + problem, cause);
    }
}

package cacheproxy.proxy.discovery;

/** A field of an endpoint list, or of one of its entries, that can't be used. */
final class InvalidFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Says where, and what was expected.
     *
     * @param subject what has the field: {@code host NAME}, or the list
     * @param problem which field, what was expected and what was found
     */
    InvalidFieldException(String subject, String problem) {
        super(subject + ": " + problem);
    }

    InvalidFieldException(String subject, String problem, Throwable cause) {
        super(subject + ": " + problem, cause);
    }
}

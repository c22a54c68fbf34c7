package cacheproxy.proxy.discovery;

/** Thrown for an invalid field of an endpoint list or of one of its entries. */
final class InvalidFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception whose message names the subject and the problem.
     *
     * @param subject the object that has the field: {@code host NAME}, or the list
     * @param problem the field, what was expected and what was found
     */
    InvalidFieldException(String subject, String problem) {
        super(subject + ": " + problem);
    }

    InvalidFieldException(String subject, String problem, Throwable cause) {
        super(subject + ": " + problem, cause);
    }
}

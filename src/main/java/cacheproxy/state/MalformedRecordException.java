package cacheproxy.state;

/** Thrown for JSON that is not a valid stored record. */
public final class MalformedRecordException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }
}

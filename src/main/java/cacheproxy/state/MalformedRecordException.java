package cacheproxy.state;

/** JSON that should be a stored record and isn't one. */
public final class MalformedRecordException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }
}

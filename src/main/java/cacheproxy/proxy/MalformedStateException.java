package cacheproxy.proxy;

/** Thrown if state from a file or from another process is not in the expected format. */
final class MalformedStateException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedStateException(String message) {
        super(message);
    }
}

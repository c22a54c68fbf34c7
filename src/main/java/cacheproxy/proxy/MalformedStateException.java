package cacheproxy.proxy;

/** State from a file or another process that doesn't have the expected form. */
final class MalformedStateException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedStateException(String message) {
        super(message);
    }
}

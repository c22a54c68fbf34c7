package cacheproxy.proxy.discovery;

/** Thrown for a text that is not a literal IP address with a port. */
public final class InvalidAddressException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String text) {
        super("'" + text + "' is not an address with a port");
    }
}

package cacheproxy.proxy.discovery;

/** A text that is no literal address with a port. */
public final class InvalidAddressException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String text) {
        super("'" + text + "' is not an address with a port");
    }
}

package cacheproxy.proxy.discovery;

import com.google.gson.JsonParseException;

/** An answer of discovery that is no endpoint list, or one that can't be used as it stands. */
final class InvalidEndpointListException extends JsonParseException {
    private static final long serialVersionUID = 1L;

    /** {@code message}: what was expected, and what was found. */
    InvalidEndpointListException(String message) {
        super(message);
    }
}

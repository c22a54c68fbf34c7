package cacheproxy.proxy.discovery;

import com.google.gson.JsonParseException;

/** Thrown for a response of discovery that is not an endpoint list, or is one that can't be applied as a whole. */
final class InvalidEndpointListException extends JsonParseException {
    private static final long serialVersionUID = 1L;

    /** {@code message}: what was expected and what was found. */
    InvalidEndpointListException(String message) {
        super(message);
    }
}

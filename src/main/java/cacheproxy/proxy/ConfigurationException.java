package cacheproxy.proxy;

/** Thrown if an instance's configuration file is missing or invalid; its one-line message names file and reason. */
public final class ConfigurationException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(message);
    }

    ConfigurationException(String message, Exception cause) {
        super(message, cause);
    }
}

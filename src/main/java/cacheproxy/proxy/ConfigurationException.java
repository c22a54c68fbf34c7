package cacheproxy.proxy;

/** An instance's configuration file is missing or unusable; the message names the file and says why in one line. */
public final class ConfigurationException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String message) {
        super(message);
    }

    ConfigurationException(String message, Exception cause) {
        super(message, cause);
    }
}

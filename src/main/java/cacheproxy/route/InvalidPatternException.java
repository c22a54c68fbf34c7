package cacheproxy.route;

/** A pattern of a key or a host name is invalid; the message says why, without the pattern. */
public final class InvalidPatternException extends RoutingDefinitionException {
    private static final long serialVersionUID = 1L;

    InvalidPatternException(String message) {
        super(message);
    }
}

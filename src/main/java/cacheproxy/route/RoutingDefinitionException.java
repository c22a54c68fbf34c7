package cacheproxy.route;

/** A definition of pools, policies and routes is invalid; the message says which part, for operators. */
public abstract class RoutingDefinitionException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    RoutingDefinitionException(String message) {
        super(message);
    }
}

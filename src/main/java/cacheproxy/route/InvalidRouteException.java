package cacheproxy.route;

/** A route has the name of another one, or names a pool or a policy that does not exist. */
public final class InvalidRouteException extends RoutingDefinitionException {
    private static final long serialVersionUID = 1L;

    InvalidRouteException(String message) {
        super(message);
    }
}

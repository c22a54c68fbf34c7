package cacheproxy.route;

/** Two routes are equally specific, so that nothing decides which takes a request. */
public final class RouteConflictException extends RoutingDefinitionException {
    private static final long serialVersionUID = 1L;

    RouteConflictException(String message) {
        super(message);
    }
}

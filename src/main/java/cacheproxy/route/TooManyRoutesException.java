package cacheproxy.route;

/** Routes name more patterns or conditions than a table of routes holds. */
public final class TooManyRoutesException extends RoutingDefinitionException {
    private static final long serialVersionUID = 1L;

    TooManyRoutesException(String message) {
        super(message);
    }
}

package cacheproxy.route;

/** A limit of a policy is out of its range. */
public final class InvalidPolicyException extends RoutingDefinitionException {
    private static final long serialVersionUID = 1L;

    InvalidPolicyException(String message) {
        super(message);
    }
}

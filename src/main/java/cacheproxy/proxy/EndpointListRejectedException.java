package cacheproxy.proxy;

/** The load balancer failed on an update of the endpoint list, which is therefore not in use. */
final class EndpointListRejectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    EndpointListRejectedException(String message) {
        super(message);
    }
}

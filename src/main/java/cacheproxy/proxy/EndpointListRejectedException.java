package cacheproxy.proxy;

/** Thrown if the load balancer failed on an update of the endpoint list, which therefore does not count as applied. */
final class EndpointListRejectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    EndpointListRejectedException(String message) {
        super(message);
    }
}

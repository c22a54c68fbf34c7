package cacheproxy.route;

/**
 * Whether an attempt that a pool's load balancer orders may be sent. Inputs: the request's attempts so far, its policy,
 * and whether the endpoint is warming up.
 */
final class RetryBudgetGate {
    private final EndpointCatalog endpoints;

    RetryBudgetGate(EndpointCatalog endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Whether the attempt may be sent; a retry that may be sent is taken from the policy's retry budget. Asking the
     * origin after a cache miss is no retry; any other attempt after the first one is.
     */
    boolean tryAcquire(double nowMs, RoutedRequest request, int endpointId) {
        if (request.hasFallenBack() && endpoints.isWarmingUp(nowMs, endpointId)) {
            return false; // the load that a failing pool sheds would overload an endpoint in slow start
        }
        if (request.missed() || request.countedAttempts() == 0) {
            return true;
        }
        return request.route().limits().tryRetry(nowMs, request.countedAttempts(), request.hasInFlight());
    }
}

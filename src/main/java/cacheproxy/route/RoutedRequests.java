package cacheproxy.route;

import cacheproxy.routing.Idempotency;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The requests in the router: those that are owed an answer, and those whose attempts have not all ended. Admits a
 * request or rejects it by its policy, hands it to its pool or the fallback, and closes it. Not thread-safe.
 */
final class RoutedRequests {
    private final Supplier<RoutingSettings> settings;
    private final PoolRegistry pools;
    private final Map<Integer, RoutedRequest> requests = new HashMap<>();

    RoutedRequests(Supplier<RoutingSettings> settings, PoolRegistry pools) {
        this.settings = settings;
        this.pools = pools;
    }

    /** The request of this id; null if it is unknown or over. */
    RoutedRequest get(int requestId) {
        return requests.get(requestId);
    }

    int size() {
        return requests.size();
    }

    /** Counts an arrived request, and rejects it if its route's policy requires that; true if it is admitted. */
    boolean admit(Request request, ActiveRoute route, RoutingActions out) {
        route.onRequest();
        PolicyLimits limits = route.limits();
        if (limits.rejects(request)) {
            route.onRejected();
            out.reject(request.id(), limits.policy().retryAfterMs());
            return false;
        }
        return true;
    }

    /** Passes an admitted request to its pool, or immediately to the fallback if the pool has no ready endpoint. */
    void start(double nowMs, Request request, ActiveRoute route, RoutingActions out) {
        PolicyLimits limits = route.limits();
        limits.onAdmitted(nowMs);
        RoutedRequest routed = open(limits.withDeadline(nowMs, request), route);
        if (!routed.pool().hasReadyEndpoint() && mayFallBack(nowMs, routed)) {
            fallBack(nowMs, routed, out);
        } else {
            handToPool(nowMs, routed, out);
        }
    }

    private RoutedRequest open(Request request, ActiveRoute route) {
        boolean idempotent =
                settings.get().classes().get(request.serviceClass()).idempotency() == Idempotency.IDEMPOTENT;
        RoutedRequest routed = new RoutedRequest(request, route, idempotent);
        requests.put(request.id(), routed);
        route.limits().onOpened();
        routed.pool().addOpenRequests(1);
        route.addReachableBy(1);
        return routed;
    }

    boolean mayFallBack(double nowMs, RoutedRequest routed) {
        return routed.mayFallBack(nowMs, settings.get().maxAttempts());
    }

    /** Moves a request to its fallback pool. */
    void fallBack(double nowMs, RoutedRequest routed, RoutingActions out) {
        routed.fallBack();
        handToPool(nowMs, routed, out);
    }

    private void handToPool(double nowMs, RoutedRequest routed, RoutingActions out) {
        PoolBalancer pool = routed.pool();
        closingOnFailure(routed, () -> pool.onRequest(nowMs, routed.request(), out));
    }

    /**
     * Closes a request if the load balancer fails on its event: the dispatcher then answers it, and does not notify the
     * router.
     */
    void closingOnFailure(RoutedRequest routed, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            close(routed);
            throw e;
        }
    }

    /** The request has had its final answer, or nobody waits for one. It is kept while attempts are in flight. */
    void close(RoutedRequest routed) {
        if (!routed.isClosed()) {
            routed.close();
            routed.route().limits().onClosed();
            routed.pool().addOpenRequests(-1);
            routed.route().addReachableBy(-1);
            pools.removeDrained();
        }
        if (!routed.hasInFlight()) {
            requests.remove(routed.request().id());
        }
    }
}

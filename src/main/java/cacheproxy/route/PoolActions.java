package cacheproxy.route;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.RoutingActions;

/**
 * The actions that one pool's load balancer calls during one event. Maps its attempts and timers to the dispatcher's,
 * and applies policies and fallbacks. An attempt that is not allowed ends as {@link AttemptOutcome#NOT_SENT} for the
 * load balancer, which continues as after any other such end.
 */
final class PoolActions implements RoutingActions {
    /** The parts of the router that the actions use. */
    record Context(
            RoutedRequests requests,
            RetryBudgetGate retryBudgetGate,
            PoolTimers timers,
            PendingHealthChecks healthChecks,
            DeferredActions deferred) {}

    private final Context context;
    private final PoolBalancer pool;
    private final double nowMs;
    private final RoutingActions out;

    PoolActions(Context context, PoolBalancer pool, double nowMs, RoutingActions out) {
        this.context = context;
        this.pool = pool;
        this.nowMs = nowMs;
        this.out = out;
    }

    @Override
    public void send(int requestId, int endpointId, double timeoutMs) {
        RoutedRequest request = context.requests().get(requestId);
        int index = request.nextOrderIndex();
        if (context.retryBudgetGate().tryAcquire(nowMs, request, endpointId)) {
            request.onAttemptSent(pool, index);
            out.send(requestId, endpointId, timeoutMs);
        } else {
            throttle(request, index, endpointId);
        }
    }

    private void throttle(RoutedRequest request, int index, int endpointId) {
        request.route().onThrottledAttempt();
        AttemptEnd end =
                new AttemptEnd(request.request().id(), index, endpointId, AttemptOutcome.NOT_SENT, 0, false, 0, null);
        context.deferred()
                .add(later -> context.requests().closingOnFailure(request, () -> pool.onAttemptEnd(nowMs, end, later)));
    }

    /**
     * Moves the request to its fallback pool, if it may fall back, when an attempt has failed or this pool has no ready
     * endpoint. A request that the pool rejects without an attempt though it has ready endpoints is rejected.
     */
    @Override
    public void reject(int requestId, double retryAfterMs) {
        RoutedRequests requests = context.requests();
        RoutedRequest request = requests.get(requestId);
        if (request != null
                && (request.hasFailedAttempt() || !pool.hasReadyEndpoint())
                && requests.mayFallBack(nowMs, request)) {
            context.deferred().add(later -> requests.fallBack(nowMs, request, later));
        } else {
            close(request);
            out.reject(requestId, retryAfterMs);
        }
    }

    @Override
    public void fail(int requestId) {
        close(context.requests().get(requestId));
        out.fail(requestId);
    }

    private void close(RoutedRequest request) {
        if (request != null) {
            context.requests().close(request);
        }
    }

    @Override
    public void cancel(int requestId, int attempt) {
        RoutedRequest request = context.requests().get(requestId);
        int index = request == null ? -1 : request.dispatcherIndex(pool, attempt);
        if (index >= 0) {
            out.cancel(requestId, index);
        }
    }

    @Override
    public void setTimer(double afterMs, int token) {
        out.setTimer(afterMs, context.timers().add(pool, token));
    }

    @Override
    public void checkHealth(int endpointId) {
        if (!context.healthChecks().isPending(endpointId)) {
            out.checkHealth(endpointId);
        }
        context.healthChecks().add(endpointId, pool);
    }

    @Override
    public void closeIdle(int endpointId) {
        out.closeIdle(endpointId);
    }

    @Override
    public void sendToPeer(int peerIndex, byte[] message) {
        out.sendToPeer(peerIndex, message);
    }

    /** All pools share one endpoint list, which the pool of all endpoints keeps up to date. */
    @Override
    public void setWatch(boolean on) {
        if (pool.isOfAllEndpoints()) {
            out.setWatch(on);
        }
    }

    @Override
    public void fetchEndpointList() {
        if (pool.isOfAllEndpoints()) {
            out.fetchEndpointList();
        }
    }

    @Override
    public void reportSignal(int endpointId, EndpointSignal signal) {
        out.reportSignal(endpointId, signal);
    }

    @Override
    public void log(String line) {
        out.log(pool.isOfAllEndpoints() ? line : "pool " + pool.name() + ": " + line);
    }
}

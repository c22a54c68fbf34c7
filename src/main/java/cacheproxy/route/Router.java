package cacheproxy.route;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import java.util.List;
import java.util.Map;

/**
 * Stands between the dispatcher and one load balancer for each pool. To the dispatcher it is the load balancer, with
 * the same events and orders; to each pool's load balancer it is the dispatcher.
 *
 * <pre>
 * which route                  ActiveRoutes, over RouteTable; replaced at a reload
 * which pools there are        PoolRegistry of PoolBalancer, until they are drained
 * which endpoints are a pool's PoolEndpoints, over EndpointCatalog
 * admitted or rejected, closed RoutedRequests, by PolicyLimits
 * fallback pool                RoutedRequest
 * another attempt, or not      RetryBudgetGate, by PolicyLimits and RetryBudget
 * orders of a pool             PoolActions, with PoolTimers and PendingHealthChecks
 * </pre>
 *
 * <p>Attempts and limits count over both pools of a route. An endpoint of several pools is known to each of their load
 * balancers: that it drains or is in slow start holds in each. Not thread-safe.
 */
public final class Router implements LoadBalancer {
    private final PoolTimers timers = new PoolTimers();
    private final PendingHealthChecks healthChecks = new PendingHealthChecks();
    private final DeferredActions deferred = new DeferredActions();
    private final EndpointCatalog endpoints;
    private final PoolRegistry pools;
    private final RoutedRequests requests;
    private final ActiveRoutes routes;
    private final PoolActions.Context context;
    private RoutingSettings settings;

    /**
     * Starts with these routes; requests that none matches go to all endpoints by the settings.
     *
     * @param seed of all random choices; each pool's name is mixed in
     */
    public Router(RoutingSettings initial, long seed, Routing routing) {
        settings = initial;
        endpoints = new EndpointCatalog(this::settings);
        pools = new PoolRegistry(this::settings, seed, endpoints, this::actions);
        requests = new RoutedRequests(this::settings, pools);
        routes = new ActiveRoutes(pools.allEndpoints());
        context = new PoolActions.Context(requests, new RetryBudgetGate(endpoints), timers, healthChecks, deferred);
        replaceRoutes(routing);
    }

    private RoutingSettings settings() {
        return settings;
    }

    private RoutingActions actions(PoolBalancer pool, double nowMs, RoutingActions out) {
        return new PoolActions(context, pool, nowMs, out);
    }

    // ---- routes, settings and learned state

    /**
     * Replaces all routes atomically. Open requests continue under the routes that they began with; a pool that is no
     * longer named serves these and is then removed.
     */
    public void replaceRoutes(double nowMs, Routing next, RoutingActions out) {
        replaceRoutes(next);
        for (PoolBalancer pool : pools.snapshot()) {
            pool.onEndpointUpdate(nowMs, EndpointUpdateKind.SNAPSHOT, endpoints.snapshot(), out);
        }
        deferred.runAll(out);
    }

    private void replaceRoutes(Routing next) {
        Map<String, PoolBalancer> named = pools.replace(next.pools().values());
        routes.replace(next, named, settings);
    }

    @Override
    public void onSettings(double nowMs, RoutingSettings next, RoutingActions out) {
        for (PoolBalancer pool : pools.snapshot()) {
            pool.onSettings(nowMs, next, out);
        }
        settings = next;
        routes.bind(next);
        deferred.runAll(out);
    }

    @Override
    public Map<String, LearnedState> learnedState(double nowMs) {
        return pools.learnedState(nowMs);
    }

    @Override
    public void restore(double nowMs, Map<String, LearnedState> states) {
        pools.restore(nowMs, states);
    }

    /** An endpoint that one pool still uses is not avoided. */
    @Override
    public boolean isAvoided(double nowMs, int endpointId) {
        return pools.isAvoided(nowMs, endpointId);
    }

    // ---- status

    /** The routing in force. */
    public Routing routing() {
        return routes.routing();
    }

    /** The number of routings that have been in force, this one included. */
    public int version() {
        return routes.version();
    }

    /** The pools, that of all endpoints first. */
    public List<PoolStatus> pools() {
        return pools.status();
    }

    /** The routes, that of requests which no route matches last. */
    public List<RouteStatus> routes() {
        return routes.status();
    }

    /** Requests without an answer, and those whose attempts have not all ended. */
    int openRequests() {
        return requests.size();
    }

    // ---- endpoints and zones

    /** Sets the attributes by which pools select an endpoint, before the list update that names it. */
    public void updateAttributes(int endpointId, EndpointAttributes attributes) {
        endpoints.putAttributes(endpointId, attributes);
    }

    @Override
    public void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> changes, RoutingActions out) {
        endpoints.apply(kind, changes);
        for (PoolBalancer pool : pools.snapshot()) {
            if (kind != EndpointUpdateKind.FAILED || pool.isOfAllEndpoints()) {
                pool.onEndpointUpdate(nowMs, kind, changes, out);
            }
        }
        deferred.runAll(out);
    }

    @Override
    public void onZoneDirectives(double nowMs, List<ZoneDirective> directives, RoutingActions out) {
        pools.onZoneDirectives(nowMs, directives, out);
        deferred.runAll(out);
    }

    // ---- requests

    /** A request without the text of its key, so that only routes for any key can match. */
    @Override
    public void onRequest(double nowMs, Request request, RoutingActions out) {
        onRequest(nowMs, request, "", Routing.META_FRONT, out);
    }

    /**
     * A client's request has arrived.
     *
     * @param key the text of its key
     * @param front the index of its front protocol in {@link Routing#FRONTS}
     */
    public void onRequest(double nowMs, Request request, CharSequence key, int front, RoutingActions out) {
        ActiveRoute route = routes.find(request, key, front, settings);
        if (requests.admit(request, route, out)) {
            requests.start(nowMs, request, route, out);
            deferred.runAll(out);
        }
    }

    @Override
    public void onFirstByte(double nowMs, int requestId, int attempt, int endpointId, RoutingActions out) {
        RoutedRequest request = requests.get(requestId);
        RoutedRequest.PoolAttempt sent = request == null ? null : request.attempt(attempt);
        if (sent != null) {
            sent.pool().onFirstByte(nowMs, requestId, sent.index(), endpointId, out);
        }
        deferred.runAll(out);
    }

    @Override
    public void onAttemptEnd(double nowMs, AttemptEnd end, RoutingActions out) {
        RoutedRequest request = requests.get(end.requestId());
        RoutedRequest.PoolAttempt sent = request == null ? null : request.attempt(end.attemptIndex());
        if (sent == null) {
            return;
        }
        request.onAttemptEnd(end.outcome());
        AttemptEnd ofPool = RoutedRequest.forPool(end, sent);
        requests.closingOnFailure(request, () -> sent.pool().onAttemptEnd(nowMs, ofPool, out));
        if (end.requestCompleted() || request.isClosed()) {
            requests.close(request);
        }
        deferred.runAll(out);
    }

    @Override
    public void onClientDisconnected(double nowMs, int requestId, RoutingActions out) {
        RoutedRequest request = requests.get(requestId);
        if (request != null) {
            request.pool().onClientDisconnected(nowMs, requestId, out);
            requests.close(request);
        }
        deferred.runAll(out);
    }

    // ---- timers, health checks, peers

    @Override
    public void onTimer(double nowMs, int token, RoutingActions out) {
        PoolTimers.PoolTimer timer = timers.remove(token);
        if (timer != null) {
            timer.pool().onTimer(nowMs, timer.token(), out);
        }
        deferred.runAll(out);
    }

    @Override
    public void onHealthCheckResult(
            double nowMs,
            int endpointId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] report,
            RoutingActions out) {
        for (PoolBalancer pool : healthChecks.remove(endpointId)) {
            pool.onHealthCheckResult(nowMs, endpointId, outcome, elapsedMs, report, out);
        }
        deferred.runAll(out);
    }

    @Override
    public void onPeerMessage(double nowMs, int peerIndex, byte[] message, RoutingActions out) {
        pools.allEndpoints().onPeerMessage(nowMs, peerIndex, message, out);
        deferred.runAll(out);
    }
}

package cacheproxy.route;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import java.util.List;
import java.util.Map;

/**
 * A pool with its own load balancer: passes it the events that concern the pool, with attempt indices and timer tokens
 * as that load balancer counts them, and with {@link PoolActions} as its actions. Not thread-safe.
 */
final class PoolBalancer {
    /** Key of a load balancer's learned state; each of them serves one pool. */
    private static final String ONLY_POOL = "";

    /** Creates the actions for a pool's load balancer. */
    @FunctionalInterface
    interface ActionsFactory {
        /**
         * The actions for one event.
         *
         * @param nowMs the time of the event
         * @param out receives what the router orders of the dispatcher
         */
        RoutingActions create(PoolBalancer pool, double nowMs, RoutingActions out);
    }

    private final String name;
    private final boolean ofAllEndpoints;
    private final ActionsFactory actions;
    private final PoolEndpoints endpoints;
    private final CarpLoadBalancer loadBalancer;
    private Pool pool;
    /** Open requests in this pool. */
    private int openRequests;
    /** Open requests in this pool or able to fall back to it; while there are any, it must get endpoint updates. */
    private int reachableBy;

    private boolean draining;

    /**
     * Creates a pool without endpoints.
     *
     * @param ofAllEndpoints whether this is the one pool of all endpoints, which keeps the endpoint list up to date
     */
    PoolBalancer(
            Pool pool,
            boolean ofAllEndpoints,
            EndpointCatalog catalog,
            CarpLoadBalancer loadBalancer,
            ActionsFactory actions) {
        this.pool = pool;
        this.ofAllEndpoints = ofAllEndpoints;
        this.loadBalancer = loadBalancer;
        this.actions = actions;
        name = pool.name();
        endpoints = new PoolEndpoints(catalog, ofAllEndpoints);
    }

    // ---- state

    String name() {
        return name;
    }

    boolean isOfAllEndpoints() {
        return ofAllEndpoints;
    }

    /** Sets the pool's definition from a new configuration. */
    void redefine(Pool next) {
        pool = next;
    }

    /** The configuration no longer names the pool: from now on it only serves requests that can still reach it. */
    void startDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isDrained() {
        return draining && reachableBy == 0;
    }

    boolean hasReadyEndpoint() {
        return endpoints.hasReady();
    }

    boolean contains(int endpointId) {
        return endpoints.contains(endpointId);
    }

    void addReachableBy(int change) {
        reachableBy += change;
    }

    void addOpenRequests(int change) {
        openRequests += change;
    }

    PoolStatus status() {
        return new PoolStatus(name, endpoints.readyCount(), openRequests, draining);
    }

    LearnedState learnedState(double nowMs) {
        return loadBalancer.learnedState(nowMs).get(ONLY_POOL);
    }

    void restore(double nowMs, LearnedState learned) {
        loadBalancer.restore(nowMs, Map.of(ONLY_POOL, learned));
    }

    boolean isAvoided(double nowMs, int endpointId) {
        return loadBalancer.isAvoided(nowMs, endpointId);
    }

    // ---- events

    private RoutingActions actions(double nowMs, RoutingActions out) {
        return actions.create(this, nowMs, out);
    }

    void onSettings(double nowMs, RoutingSettings settings, RoutingActions out) {
        loadBalancer.onSettings(nowMs, settings, actions(nowMs, out));
    }

    /** Passes on the part of a list update that concerns the pool's endpoints. */
    void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> changes, RoutingActions out) {
        List<Endpoint> own = endpoints.update(pool, kind, changes);
        // Only the pool of all endpoints has to replace a cached list by a fresh one.
        EndpointUpdateKind ownKind =
                kind == EndpointUpdateKind.CACHED && !ofAllEndpoints ? EndpointUpdateKind.SNAPSHOT : kind;
        loadBalancer.onEndpointUpdate(nowMs, ownKind, own, actions(nowMs, out));
    }

    void onRequest(double nowMs, Request request, RoutingActions out) {
        loadBalancer.onRequest(nowMs, request, actions(nowMs, out));
    }

    void onFirstByte(double nowMs, int requestId, int attempt, int endpointId, RoutingActions out) {
        loadBalancer.onFirstByte(nowMs, requestId, attempt, endpointId, actions(nowMs, out));
    }

    void onAttemptEnd(double nowMs, AttemptEnd end, RoutingActions out) {
        loadBalancer.onAttemptEnd(nowMs, end, actions(nowMs, out));
    }

    void onClientDisconnected(double nowMs, int requestId, RoutingActions out) {
        loadBalancer.onClientDisconnected(nowMs, requestId, actions(nowMs, out));
    }

    void onTimer(double nowMs, int token, RoutingActions out) {
        loadBalancer.onTimer(nowMs, token, actions(nowMs, out));
    }

    void onHealthCheckResult(
            double nowMs,
            int endpointId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] report,
            RoutingActions out) {
        loadBalancer.onHealthCheckResult(nowMs, endpointId, outcome, elapsedMs, report, actions(nowMs, out));
    }

    void onPeerMessage(double nowMs, int peerIndex, byte[] message, RoutingActions out) {
        loadBalancer.onPeerMessage(nowMs, peerIndex, message, actions(nowMs, out));
    }

    void onZoneDirectives(double nowMs, List<ZoneDirective> directives, RoutingActions out) {
        loadBalancer.onZoneDirectives(nowMs, directives, actions(nowMs, out));
    }
}

package cacheproxy.proxy;

import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.route.Router;
import cacheproxy.route.Routing;
import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CarpLoadBalancer;
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
 * Delivers events to the load balancer, one at a time by a {@link SerialExecutor}. Each carries the time of its
 * delivery, and a request the time at which it was accepted. Usable after {@link #start}. Event loop only.
 */
final class SerialLoadBalancer {
    private final SerialExecutor executor;
    private final ProxyClock clock;
    private LoadBalancer loadBalancer;
    /** The load balancer if routes are configured; otherwise null. */
    private Router router;

    private RoutingActions actions;

    SerialLoadBalancer(SerialExecutor executor, ProxyClock clock) {
        this.executor = executor;
        this.clock = clock;
    }

    /**
     * Creates the load balancer.
     *
     * @param routing the routes; null for a single pool with the policy of the settings
     * @param actions carries out the load balancer's actions
     */
    void start(RoutingSettings settings, long seed, Routing routing, RoutingActions actions) {
        this.actions = actions;
        router = routing == null ? null : new Router(settings, seed, routing);
        loadBalancer = router != null ? router : new CarpLoadBalancer(settings, seed);
    }

    /** The router; null if there are no routes. */
    Router router() {
        return router;
    }

    /** Whether the load balancer currently sends this server no ordinary requests. */
    boolean isAvoided(int server) {
        return loadBalancer.isAvoided(clock.now(), server);
    }

    /** What the load balancer has learned, by pool. */
    Map<String, LearnedState> learnedState() {
        return loadBalancer.learnedState(clock.now());
    }

    /** Adopts what another process has learned; to be called after the first endpoint list. */
    void resume(Map<String, LearnedState> learned) {
        executor.runSerially(() -> loadBalancer.restore(clock.now(), learned));
    }

    void settingsChanged(RoutingSettings settings) {
        executor.runSerially(() -> loadBalancer.onSettings(clock.now(), settings, actions));
    }

    /** Replaces the routes; only if it was started with routes. */
    void routesChanged(Routing routing) {
        executor.runSerially(() -> router.replaceRoutes(clock.now(), routing, actions));
    }

    /** Delivers an update of the endpoint list; returns false if the load balancer failed on it. */
    boolean endpointsChanged(EndpointUpdateKind kind, List<DiscoveredEndpoint> endpoints) {
        long failuresBefore = executor.failures();
        executor.runSerially(() -> {
            if (router != null) { // within the call, not before it: an earlier update may still be queued
                endpoints.forEach(
                        endpoint -> router.updateAttributes(endpoint.endpoint().id(), endpoint.attributes()));
            }
            loadBalancer.onEndpointUpdate(
                    clock.now(),
                    kind,
                    endpoints.stream().map(DiscoveredEndpoint::endpoint).toList(),
                    actions);
        });
        return executor.failures() == failuresBefore;
    }

    /**
     * Delivers a request.
     *
     * @param acceptedMs when it was accepted, on the clock of {@link ProxyClock#now}
     * @param key its key, as text, which routes match
     * @param front the index of its front protocol
     * @param onFailure runs if the load balancer fails on it
     */
    void requestAccepted(double acceptedMs, Request request, String key, int front, Runnable onFailure) {
        executor.runSerially(
                () -> {
                    if (router != null) {
                        router.onRequest(acceptedMs, request, key, front, actions);
                    } else {
                        loadBalancer.onRequest(acceptedMs, request, actions);
                    }
                },
                onFailure);
    }

    void firstByteReceived(RequestAttempt attempt) {
        executor.runSerially(() ->
                loadBalancer.onFirstByte(clock.now(), attempt.request.id, attempt.index, attempt.server, actions));
    }

    /** Delivers the end of an attempt; {@code onFailure} runs if the load balancer fails on it. */
    void attemptEnded(AttemptEnd end, Runnable onFailure) {
        executor.runSerially(() -> loadBalancer.onAttemptEnd(clock.now(), end, actions), onFailure);
    }

    void clientDisconnected(ClientRequest request) {
        executor.runSerially(() -> loadBalancer.onClientDisconnected(clock.now(), request.id, actions));
    }

    /** Delivers the result of a health check; {@code report} may be null. */
    void healthCheckEnded(int server, AttemptOutcome outcome, double elapsedMs, float[] report) {
        executor.runSerially(
                () -> loadBalancer.onHealthCheckResult(clock.now(), server, outcome, elapsedMs, report, actions));
    }

    void timerExpired(int token) {
        executor.runSerially(() -> loadBalancer.onTimer(clock.now(), token, actions));
    }

    void peerMessageReceived(int peer, byte[] message) {
        executor.runSerially(() -> loadBalancer.onPeerMessage(clock.now(), peer, message, actions));
    }

    void zoneDirectivesIssued(List<ZoneDirective> directives) {
        executor.runSerially(() -> loadBalancer.onZoneDirectives(clock.now(), directives, actions));
    }
}

package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import java.util.function.Supplier;

/**
 * Which endpoints are ejected for their own failures, for how long, and how they come back. Inputs: ends of attempts,
 * attempts that are overdue, results of health checks, and outliers that peers report. All spans are multiples of the
 * connect timeout, as that is how long a request may wait for an endpoint that is gone; in milliseconds.
 *
 * <p>An ejected endpoint comes back half-open: one health check, or one idempotent request where none are allowed. A
 * budget bounds what probes may cost.
 */
final class OutlierDetection {
    /** The first ejection in connect timeouts; it doubles with each failure that follows. */
    private static final int EJECTION_CONNECT_TIMEOUTS = 10;

    /** So the longest ejection is 80 connect timeouts: a server that restarts is probed again within seconds. */
    private static final int MAX_EJECTION_DOUBLINGS = 3;
    /** Slow responses or resets in a row that eject: one is no evidence, and ejection moves keys to the origin. */
    private static final int SLOW_RESPONSE_LIMIT = 2;
    /** Probes for each request: a probe may cost the request that is used for it. */
    private static final double PROBES_PER_REQUEST = 0.05;

    /** Probes that may be saved up. */
    private static final double MAX_PROBE_BUDGET = 1;

    private final Supplier<RoutingSettings> settings;
    private final ZoneCircuitBreaker zones;
    private double probeBudget = MAX_PROBE_BUDGET;

    OutlierDetection(Supplier<RoutingSettings> settings, ZoneCircuitBreaker zones) {
        this.settings = settings;
        this.zones = zones;
    }

    /** A request has arrived: the budget for probes grows. */
    void onRequest() {
        probeBudget = Math.min(MAX_PROBE_BUDGET, probeBudget + PROBES_PER_REQUEST);
    }

    /**
     * Whether this request may probe an ejected endpoint, which counts as a probe under way. Where health checks are
     * allowed one is ordered instead, and the request goes elsewhere.
     */
    boolean startProbe(double nowMs, PendingRequest request, EndpointEntry endpoint, RoutingActions out) {
        boolean expendable = request.isIdempotent() && request.attemptCount() == 0;
        if (!endpoint.health().isProbeDue(nowMs) || !expendable || probeBudget < 1) {
            return false;
        }
        probeBudget--;
        endpoint.health().probeStarted();
        if (settings.get().healthChecksAllowed()) {
            out.checkHealth(endpoint.id());
            return false;
        }
        return true;
    }

    void onHealthCheckResult(double nowMs, EndpointEntry endpoint, AttemptOutcome outcome) {
        if (endpoint.health().consecutiveFailures() == 0) {
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            endpoint.health().healthCheckPassed();
        } else {
            eject(nowMs, endpoint);
        }
    }

    /** It can't be contacted, or didn't answer at all. */
    void onNoResponse(double nowMs, EndpointEntry endpoint) {
        if (endpoint.health().consecutiveFailures() == 0) { // one endpoint counts once, with however many attempts
            zones.recordUnresponsiveEndpoint(nowMs, endpoint.zone(), ejectionMs());
        }
        eject(nowMs, endpoint);
    }

    /**
     * An attempt takes longer than it should. Where it stays in flight, its answer will clear the endpoint, which is
     * ejected at once; where it is cancelled nothing would, and only the second in a row ejects.
     */
    void onOverdue(double nowMs, EndpointEntry endpoint, boolean staysInFlight) {
        if (staysInFlight || endpoint.health().recordSlowResponse() >= SLOW_RESPONSE_LIMIT) {
            onNoResponse(nowMs, endpoint);
        }
    }

    /** It closed a connection under way. No word on its zone: there is a path to it. */
    void onReset(double nowMs, EndpointEntry endpoint) {
        if (endpoint.health().consecutiveFailures() > 0
                || endpoint.health().recordSlowResponse() >= SLOW_RESPONSE_LIMIT) {
            eject(nowMs, endpoint);
        }
    }

    /** Several peers have found it silent: it is ejected here too, unless it has answered just now. */
    void onPeerReport(double nowMs, EndpointEntry endpoint) {
        EndpointHealth health = endpoint.health();
        if (health.consecutiveFailures() == 0 && health.hasNoResponseFor(nowMs, ejectionMs())) {
            eject(nowMs, endpoint);
        }
    }

    private void eject(double nowMs, EndpointEntry endpoint) {
        endpoint.health().eject(nowMs, ExponentialBackoff.ofDoublings(ejectionMs(), MAX_EJECTION_DOUBLINGS));
    }

    private double ejectionMs() {
        return EJECTION_CONNECT_TIMEOUTS * settings.get().connectTimeoutMs();
    }
}

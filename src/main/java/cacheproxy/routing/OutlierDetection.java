package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import java.util.function.Supplier;

/**
 * Ejects endpoints for their own failures, decides for how long, and returns them to service. The decision depends on
 * attempt outcomes, overdue attempts, health check results, and outliers reported by peers. All durations are multiples
 * of the connect timeout, which is how long a request may wait for an endpoint that is gone. Times in milliseconds.
 *
 * <p>When its ejection expires, an endpoint is half-open and gets one probe: a health check, or one idempotent request
 * if health checks are not allowed. A budget limits the number of probes.
 */
final class OutlierDetection {
    /** The first ejection time, in connect timeouts; it doubles with each further failure. */
    private static final int EJECTION_CONNECT_TIMEOUTS = 10;

    /** Limits an ejection to 80 connect timeouts, so that a restarted endpoint is probed again within seconds. */
    private static final int MAX_EJECTION_DOUBLINGS = 3;
    /**
     * Slow responses or resets in a row that eject an endpoint. A single one is no evidence, and an ejection moves keys
     * to the origin.
     */
    private static final int SLOW_RESPONSE_LIMIT = 2;
    /** Probes earned by each request; kept low because a probe may fail the request that is used for it. */
    private static final double PROBES_PER_REQUEST = 0.05;

    /** The most probes that may accumulate. */
    private static final double MAX_PROBE_BUDGET = 1;

    private final Supplier<RoutingSettings> settings;
    private final ZoneCircuitBreaker zones;
    private double probeBudget = MAX_PROBE_BUDGET;

    OutlierDetection(Supplier<RoutingSettings> settings, ZoneCircuitBreaker zones) {
        this.settings = settings;
        this.zones = zones;
    }

    /** A request has arrived, which adds to the probe budget. */
    void onRequest() {
        probeBudget = Math.min(MAX_PROBE_BUDGET, probeBudget + PROBES_PER_REQUEST);
    }

    /**
     * Starts a probe of an ejected endpoint if one is due and the budget allows it. Returns whether this request is the
     * probe; if health checks are allowed, one is started instead and the request must go elsewhere.
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

    /** The endpoint can't be contacted or did not respond. */
    void onNoResponse(double nowMs, EndpointEntry endpoint) {
        if (endpoint.health().consecutiveFailures() == 0) { // counts each endpoint once, however many attempts fail
            zones.recordUnresponsiveEndpoint(nowMs, endpoint.zone(), ejectionMs());
        }
        eject(nowMs, endpoint);
    }

    /**
     * An attempt has exceeded its hedging delay. If it stays in flight, the endpoint is ejected at once, because a
     * response would clear the ejection. If it is cancelled, no response can do so, and only the second overdue attempt
     * in a row ejects.
     */
    void onOverdue(double nowMs, EndpointEntry endpoint, boolean staysInFlight) {
        if (staysInFlight || endpoint.health().recordSlowResponse() >= SLOW_RESPONSE_LIMIT) {
            onNoResponse(nowMs, endpoint);
        }
    }

    /** The endpoint closed a connection during an attempt. Its zone is not suspected, as it can be reached. */
    void onReset(double nowMs, EndpointEntry endpoint) {
        if (endpoint.health().consecutiveFailures() > 0
                || endpoint.health().recordSlowResponse() >= SLOW_RESPONSE_LIMIT) {
            eject(nowMs, endpoint);
        }
    }

    /** Several peers report the endpoint as unresponsive: ejects it here too, unless it responded recently. */
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

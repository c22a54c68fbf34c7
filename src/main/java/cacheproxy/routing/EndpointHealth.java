package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;

/**
 * The health of one endpoint as seen by this instance: consecutive failures with the resulting ejection, and whether
 * the endpoint is at its connection limit. {@link OutlierDetection} and {@link ConnectionCapacity} decide when to
 * change the state; this class holds the transitions. Times in milliseconds.
 *
 * <pre>
 * in service -> ejected     it has failed, or was slow twice in a row
 * ejected    -> half-open   the ejection has expired and a probe is in flight
 * half-open  -> in service  the probe, or any attempt, got a response
 * half-open  -> ejected     the probe has failed; the ejection is longer
 * </pre>
 */
final class EndpointHealth {
    private int consecutiveFailures;
    private double ejectedUntilMs;
    private int slowResponses;
    private boolean probeInFlight;
    private boolean healthCheckPassed;
    private int connectionRejections;
    private double connectionLimitUntilMs;
    private double lastResponseMs = Double.NEGATIVE_INFINITY;

    /** Whether the endpoint's own failures allow ordinary requests. */
    boolean isInService() {
        return consecutiveFailures == 0 || (healthCheckPassed && !probeInFlight);
    }

    /** Whether the ejection has expired and no probe is in flight. Meaningful only while the endpoint is ejected. */
    boolean isProbeDue(double nowMs) {
        return nowMs >= ejectedUntilMs && !probeInFlight;
    }

    void probeStarted() {
        probeInFlight = true;
    }

    /** An attempt has ended, which ends the probe whatever the outcome. */
    void probeEnded() {
        probeInFlight = false;
    }

    void healthCheckPassed() {
        probeInFlight = false;
        healthCheckPassed = true;
    }

    /** Ejects the endpoint, for a time that grows with the number of consecutive failures. */
    void eject(double nowMs, ExponentialBackoff backoff) {
        probeInFlight = false;
        healthCheckPassed = false;
        ejectedUntilMs = nowMs + backoff.delayMs(consecutiveFailures);
        consecutiveFailures++;
    }

    /** Counts a slow response. Returns the number of them since the last timely response. */
    int recordSlowResponse() {
        return ++slowResponses;
    }

    /** Records a response, timely or not: the endpoint can be contacted and is not at its connection limit. */
    void recordResponse(double nowMs) {
        lastResponseMs = nowMs;
        connectionLimitUntilMs = 0;
    }

    /** Resets the counts of failures, slow responses and rejected connections after a timely response. */
    void clearFailures() {
        consecutiveFailures = 0;
        slowResponses = 0;
        connectionRejections = 0;
    }

    /**
     * The endpoint has restarted: discards failures, ejection and connection limit, which belong to the earlier
     * incarnation. Keeps the state of a probe in flight and the count of slow responses.
     */
    void onRestart() {
        consecutiveFailures = 0;
        connectionRejections = 0;
        ejectedUntilMs = 0;
        connectionLimitUntilMs = 0;
        lastResponseMs = Double.NEGATIVE_INFINITY;
    }

    /**
     * The fleet considers the endpoint's zone healthy again: discards failures, slow responses, ejection and probe.
     * Keeps the connection limit.
     */
    void reset() {
        consecutiveFailures = 0;
        slowResponses = 0;
        ejectedUntilMs = 0;
        probeInFlight = false;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Whether the last response was longer ago than this. */
    boolean hasNoResponseFor(double nowMs, double spanMs) {
        return nowMs - lastResponseMs > spanMs;
    }

    /** Whether the endpoint is assumed to accept no further connection. */
    boolean isAtConnectionLimit(double nowMs) {
        return nowMs < connectionLimitUntilMs;
    }

    void markAtConnectionLimit(double untilMs) {
        connectionLimitUntilMs = Math.max(connectionLimitUntilMs, untilMs);
    }

    /** Counts a rejected connection. Returns the number of earlier ones since the last timely response. */
    int recordConnectionRejection() {
        return connectionRejections++;
    }

    boolean hasRecordedFailures() {
        return consecutiveFailures > 0 || slowResponses > 0;
    }

    EndpointHealthRecord toRecord(Endpoint endpoint) {
        return new EndpointHealthRecord(
                endpoint.id(), endpoint.startTimeMs(), consecutiveFailures, ejectedUntilMs, slowResponses);
    }

    void restore(EndpointHealthRecord learned) {
        consecutiveFailures = learned.consecutiveFailures();
        ejectedUntilMs = learned.ejectedUntilMs();
        slowResponses = learned.slowResponses();
    }
}

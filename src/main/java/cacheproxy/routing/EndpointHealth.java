package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;

/**
 * What this instance has seen of one endpoint: failures in a row and the ejection that follows from them, and whether
 * it had capacity for a connection. {@link OutlierDetection} and {@link ConnectionCapacity} decide on it; here each
 * change of state stands once. Times in milliseconds.
 *
 * <pre>
 * in service -> ejected     failed, or slow twice in a row
 * ejected    -> half-open   its ejection is over and a probe is under way
 * half-open  -> in service  the probe, or any attempt, has been answered
 * half-open  -> ejected     the probe has failed: for longer
 * </pre>
 */
final class EndpointHealth {
    private int consecutiveFailures;
    private double ejectedUntilMs;
    private int slowResponses;
    private boolean probeInFlight;
    private boolean healthCheckPassed;
    private int capacityRejections;
    private double fullUntilMs;
    private double lastAnsweredMs = Double.NEGATIVE_INFINITY;

    /** Whether it gets ordinary requests, as far as its own failures are concerned. */
    boolean isInService() {
        return consecutiveFailures == 0 || (healthCheckPassed && !probeInFlight);
    }

    /** Whether its ejection is over and it has no probe yet. Holds in service as well, where nobody asks. */
    boolean isProbeDue(double nowMs) {
        return nowMs >= ejectedUntilMs && !probeInFlight;
    }

    void probeStarted() {
        probeInFlight = true;
    }

    /** The attempt that was the probe is over, whatever it has shown. */
    void probeEnded() {
        probeInFlight = false;
    }

    void healthCheckPassed() {
        probeInFlight = false;
        healthCheckPassed = true;
    }

    /** Ejects it, for the longer the more failures came before. */
    void eject(double nowMs, ExponentialBackoff backoff) {
        probeInFlight = false;
        healthCheckPassed = false;
        ejectedUntilMs = nowMs + backoff.delayMs(consecutiveFailures);
        consecutiveFailures++;
    }

    /** One more slow response; how many there were since it last answered in time. */
    int recordSlowResponse() {
        return ++slowResponses;
    }

    /** It answered, late or not: it can be contacted and has capacity. */
    void recordAnswer(double nowMs) {
        lastAnsweredMs = nowMs;
        fullUntilMs = 0;
    }

    /** It answered in time: the counts of failures, slow responses and rejected connections start at 0 again. */
    void clearFailures() {
        consecutiveFailures = 0;
        slowResponses = 0;
        capacityRejections = 0;
    }

    /**
     * It has started anew: failures, ejection and capacity are of its earlier incarnation. A probe in flight and the
     * count of slow responses stay.
     */
    void onRestart() {
        consecutiveFailures = 0;
        capacityRejections = 0;
        ejectedUntilMs = 0;
        fullUntilMs = 0;
        lastAnsweredMs = Double.NEGATIVE_INFINITY;
    }

    /**
     * The fleet finds its zone healthy again: failures, slow responses, ejection and probe end; capacity stays as
     * known.
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

    /** Whether it last answered longer ago than this. */
    boolean isUnansweredFor(double nowMs, double spanMs) {
        return nowMs - lastAnsweredMs > spanMs;
    }

    /** Whether it has no capacity for another connection, as far as known. */
    boolean isFull(double nowMs) {
        return nowMs < fullUntilMs;
    }

    void markFull(double untilMs) {
        fullUntilMs = Math.max(fullUntilMs, untilMs);
    }

    /** One more rejection for lack of capacity; how many there were before it since it last answered in time. */
    int recordCapacityRejection() {
        return capacityRejections++;
    }

    boolean hasFindings() {
        return consecutiveFailures > 0 || slowResponses > 0;
    }

    EndpointHealthRecord toRecord(Endpoint endpoint) {
        return new EndpointHealthRecord(
                endpoint.id(), endpoint.startTimeMs(), consecutiveFailures, ejectedUntilMs, slowResponses);
    }

    void resume(EndpointHealthRecord learned) {
        consecutiveFailures = learned.consecutiveFailures();
        ejectedUntilMs = learned.ejectedUntilMs();
        slowResponses = learned.slowResponses();
    }
}

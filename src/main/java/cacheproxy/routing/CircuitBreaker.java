package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;

/**
 * Stops all traffic on one path after some failures in a row, for a time that grows while they go on. Any success
 * closes it. Open means that nothing is sent.
 */
final class CircuitBreaker {
    /** Failures in a row that open it: two may be a coincidence, and each further one costs a request that waits. */
    private static final int FAILURE_THRESHOLD = 3;

    private int consecutiveFailures;
    private double openUntilMs;

    /**
     * One more failure.
     *
     * @param nowMs the time of the event, in milliseconds
     * @param backoff how long it stays open, from the failure that opens it on
     */
    void recordFailure(double nowMs, ExponentialBackoff backoff) {
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURE_THRESHOLD) {
            openUntilMs = nowMs + backoff.delayMs(consecutiveFailures - FAILURE_THRESHOLD);
        }
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        openUntilMs = 0;
    }

    boolean isOpen(double nowMs) {
        return nowMs < openUntilMs;
    }
}

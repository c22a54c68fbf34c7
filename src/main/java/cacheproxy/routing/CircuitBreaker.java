package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;

/**
 * Stops all traffic on one path after several consecutive failures, for a time that grows with further failures. Any
 * success closes the breaker. While it is open, nothing is sent.
 */
final class CircuitBreaker {
    /** Consecutive failures that open it: two may be a coincidence, and each further one delays another request. */
    private static final int FAILURE_THRESHOLD = 3;

    private int consecutiveFailures;
    private double openUntilMs;

    /**
     * Records a failure.
     *
     * @param nowMs the time of the event, in milliseconds
     * @param backoff the open times, starting with the failure that opens the breaker
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

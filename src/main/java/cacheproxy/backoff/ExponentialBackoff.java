package cacheproxy.backoff;

/**
 * Exponential backoff: a delay that doubles with each consecutive failure, up to a cap. It adds no jitter; callers that
 * need jitter multiply the delay.
 *
 * @param baseMs the delay after the first failure, in milliseconds
 * @param capMs the maximum delay, in milliseconds
 */
public record ExponentialBackoff(double baseMs, double capMs) {
    /** Enough to reach any cap, and small enough that a {@code double} represents the factor exactly. */
    private static final int MAX_DOUBLINGS = 50;

    /** Returns a backoff whose cap is reached after {@code maxDoublings} doublings, 0 to 50. */
    public static ExponentialBackoff ofDoublings(double baseMs, int maxDoublings) {
        return new ExponentialBackoff(baseMs, baseMs * (1L << maxDoublings));
    }

    /** Returns the delay in milliseconds after this number of earlier consecutive failures, 0 or more. */
    public double delayMs(int earlierFailures) {
        return Math.min(capMs, baseMs * (1L << Math.min(earlierFailures, MAX_DOUBLINGS)));
    }
}

package cacheproxy.backoff;

/**
 * A delay that doubles with each failure in a row, up to a cap. Has no jitter: who needs it multiplies.
 *
 * @param baseMs the delay after the first failure, in milliseconds
 * @param capMs the longest delay, in milliseconds
 */
public record ExponentialBackoff(double baseMs, double capMs) {
    /** More doublings than any cap needs; keeps the factor a whole number that a double holds exactly. */
    private static final int MAX_DOUBLINGS = 50;

    /** A backoff that doubles so many times at most, 0 to 50. */
    public static ExponentialBackoff ofDoublings(double baseMs, int maxDoublings) {
        return new ExponentialBackoff(baseMs, baseMs * (1L << maxDoublings));
    }

    /** The delay in milliseconds after so many earlier failures in a row, 0 or more. */
    public double delayMs(int earlierFailures) {
        return Math.min(capMs, baseMs * (1L << Math.min(earlierFailures, MAX_DOUBLINGS)));
    }
}

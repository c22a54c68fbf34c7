package cacheproxy.quota;

/**
 * One quota of one node of the tree.
 *
 * @param measure what is counted
 * @param windowMs the sliding window, {@value #MIN_WINDOW_MS} to {@value #MAX_WINDOW_MS} ms
 * @param guarantee the part of its parent's quota that is reserved for the node in any window, 0 to {@code cap}; what
 *     it does not use is lent to its siblings
 * @param cap the most that it gets in any window, guaranteed and lent; at least 1
 */
public record Limit(Measure measure, long windowMs, long guarantee, long cap) {
    /** One second. */
    public static final long MIN_WINDOW_MS = 1000;
    /** One hour. */
    public static final long MAX_WINDOW_MS = 3_600_000;

    /**
     * Checks the ranges.
     *
     * @throws InvalidQuotaException if a value is out of its range
     */
    public Limit {
        if (windowMs < MIN_WINDOW_MS || windowMs > MAX_WINDOW_MS) {
            throw new InvalidQuotaException("a window of " + windowMs + "  ms; it must be 1 s to 1 h");
        }
        if (cap < 1) {
            throw new InvalidQuotaException("a cap of " + cap + "; it must be 1 or more");
        }
        if (guarantee < 0 || guarantee > cap) {
            throw new InvalidQuotaException("a guarantee of " + guarantee + " under a cap of " + cap);
        }
    }

    /** Whether both count the same over the same window, so that one node may use what the other does not. */
    boolean hasSameMeasureAndWindow(Limit other) {
        return measure == other.measure && windowMs == other.windowMs;
    }
}

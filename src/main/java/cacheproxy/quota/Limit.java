package cacheproxy.quota;

/**
 * One quota of one node of the tree.
 *
 * @param measure what is counted
 * @param windowMs over which time, sliding: {@value #SHORTEST_MS} to {@value #LONGEST_MS} ms
 * @param guarantee how much of its parent's is this node's own in any window, 0 to {@code cap}; what it leaves is lent
 * @param cap how much it gets at most in any window, its own and what is lent to it; at least 1
 */
public record Limit(Measure measure, long windowMs, long guarantee, long cap) {
    /** One second. */
    public static final long MIN_WINDOW_MS = 1000;
    /** One hour. */
    public static final long MAX_WINDOW_MS = 3_600_000;

    /** Checks the ranges. */
    public Limit {
        if (windowMs < MIN_WINDOW_MS || windowMs > MAX_WINDOW_MS) {
            throw new IllegalArgumentException("a window of " + windowMs + " ms; it takes 1 s to 1 h");
        }
        if (cap < 1) {
            throw new IllegalArgumentException("a cap of " + cap + "; it takes 1 or more");
        }
        if (guarantee < 0 || guarantee > cap) {
            throw new IllegalArgumentException("a guarantee of " + guarantee + " under a cap of " + cap);
        }
    }

    /** Whether both count the same over the same time, so that what one node leaves the other may use. */
    boolean hasSameMeasureAndWindow(Limit other) {
        return measure == other.measure && windowMs == other.windowMs;
    }
}

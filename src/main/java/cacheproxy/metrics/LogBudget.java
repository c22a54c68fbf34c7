package cacheproxy.metrics;

import java.util.EnumMap;
import java.util.Map;

/**
 * Which events are logged: of each kind so many at once and so many a second from then on, whatever came of the others
 * and however long the process lives. What is left out is counted, and told with the next of its kind.
 */
public final class LogBudget {
    /** Lines of one kind that may come at once. */
    static final double BURST = 20;
    /** Lines of one kind a second in the long run. */
    static final double PER_SECOND = 1;

    private final Map<EventKind, Tokens> kinds = new EnumMap<>(EventKind.class);

    private static final class Tokens {
        private double saved = BURST;
        private double atMs;
        private long leftOut;
    }

    /**
     * Whether an event of this kind is logged now.
     *
     * @param nowMs on one monotonic clock
     * @return how many of the kind were left out since the last that was logged; negative: this one is left out, too
     */
    public long admit(double nowMs, EventKind kind) {
        Tokens tokens = kinds.computeIfAbsent(kind, k -> new Tokens());
        if (tokens.atMs > 0) {
            tokens.saved = Math.min(BURST, tokens.saved + Math.max(0, nowMs - tokens.atMs) / 1000 * PER_SECOND);
        }
        tokens.atMs = nowMs;
        if (tokens.saved < 1) {
            tokens.leftOut++;
            return -1;
        }
        tokens.saved--;
        long leftOut = tokens.leftOut;
        tokens.leftOut = 0;
        return leftOut;
    }
}

package cacheproxy.metrics;

import java.util.EnumMap;
import java.util.Map;

/**
 * Limits the rate of log lines by a token bucket for each kind of event, so that one kind can't crowd out another.
 * Suppressed lines are counted and reported with the next line of the kind.
 */
public final class LogRateLimiter {
    /** Lines of one kind that may be logged at once. */
    static final double BURST = 20;
    /** Lines of one kind a second in the long run. */
    static final double PER_SECOND = 1;

    private final Map<EventKind, TokenBucket> buckets = new EnumMap<>(EventKind.class);

    private static final class TokenBucket {
        private double tokens = BURST;
        private double refilledMs;
        private long suppressed;
    }

    /**
     * Whether an event of this kind may be logged now.
     *
     * @param nowMs a monotonic clock, in milliseconds
     * @return how many events of the kind were suppressed since the last that was logged; negative: this one is
     *     suppressed as well
     */
    public long admit(double nowMs, EventKind kind) {
        TokenBucket bucket = buckets.computeIfAbsent(kind, k -> new TokenBucket());
        if (bucket.refilledMs > 0) {
            bucket.tokens = Math.min(BURST, bucket.tokens + Math.max(0, nowMs - bucket.refilledMs) / 1000 * PER_SECOND);
        }
        bucket.refilledMs = nowMs;
        if (bucket.tokens < 1) {
            bucket.suppressed++;
            return -1;
        }
        bucket.tokens--;
        long suppressed = bucket.suppressed;
        bucket.suppressed = 0;
        return suppressed;
    }
}

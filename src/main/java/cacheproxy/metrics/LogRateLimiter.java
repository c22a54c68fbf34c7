package cacheproxy.metrics;

import java.util.EnumMap;
import java.util.Map;

/**
 * Limits the rate of log lines with a token bucket per kind of event, so that frequent events of one kind do not
 * suppress others. Suppressed lines are counted and reported with the next line of the same kind.
 */
public final class LogRateLimiter {
    /** The maximum burst of lines of one kind. */
    static final double BURST = 20;
    /** The sustained rate of lines of one kind, per second. */
    static final double PER_SECOND = 1;

    private final Map<EventKind, TokenBucket> buckets = new EnumMap<>(EventKind.class);

    private static final class TokenBucket {
        private double tokens = BURST;
        private double refilledMs;
        private long suppressed;
    }

    /**
     * Decides whether an event of this kind may be logged now.
     *
     * @param nowMs the time of a monotonic clock, in milliseconds
     * @return the number of events of this kind suppressed since the last logged one, or a negative number if this
     *     event is suppressed as well
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

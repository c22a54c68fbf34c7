package cacheproxy.routing;

/**
 * Client-side throttling for one backend (the origin, or all cache endpoints together): computes the fraction of
 * requests that should not be sent, from the counts of requests sent and of those completed in time. Prevents the
 * overload in which late and rejected requests are retried and the backend does no useful work.
 *
 * <p>Times in milliseconds, fractions 0 to 1. Based on "Handling Overload" in Site Reliability Engineering: the
 * rejected fraction is (requests - K x accepts) / (requests + 1), with {@link #HEADROOM} as K.
 */
final class AdaptiveThrottle {
    /** Covers about ten fetches at a proxy with a few fetches per second. */
    static final double HALF_LIFE_MS = 4000;
    /** Requests sent per request completed in time; above 1, so that a recovery of the backend is noticed. */
    private static final double HEADROOM = 1.2;

    private final DecayingCounter requested = new DecayingCounter();
    private final DecayingCounter completedInTime = new DecayingCounter();

    /** The fraction of requests that should not be sent; none if it is not positive. */
    double excess(double nowMs) {
        decay(nowMs);
        return (requested.value() - HEADROOM * completedInTime.value() - 1) / (requested.value() + 1);
    }

    /** The number of requests sent per request completed in time; 1 or more. */
    double overloadRatio(double nowMs) {
        decay(nowMs);
        return Math.max(1, (requested.value() + 1) / (completedInTime.value() + 1));
    }

    /** Whether so few requests complete in time that a slow response is no evidence against one endpoint. */
    boolean isOverloaded(double nowMs) {
        return overloadRatio(nowMs) > HEADROOM;
    }

    void recordRequest(double nowMs) {
        decay(nowMs);
        requested.increment();
    }

    void recordCompletedInTime(double nowMs) {
        decay(nowMs);
        completedInTime.increment();
    }

    /**
     * Removes a request that never reached the backend and so is no evidence of load. Counting it would keep the
     * throttle active for seconds afterwards.
     */
    void withdrawRequest(double nowMs) {
        decay(nowMs);
        requested.decrement();
    }

    LoadCount counts(double nowMs) {
        decay(nowMs);
        return new LoadCount(requested.value(), completedInTime.value());
    }

    void restore(double nowMs, LoadCount load) {
        requested.restore(nowMs, load.requested());
        completedInTime.restore(nowMs, load.completedInTime());
    }

    private void decay(double nowMs) {
        requested.decay(nowMs, HALF_LIFE_MS);
        completedInTime.decay(nowMs, HALF_LIFE_MS);
    }
}

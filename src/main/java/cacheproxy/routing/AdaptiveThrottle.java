package cacheproxy.routing;

/**
 * Client-side throttling: which part of the requests for one backend (the origin, or all cache endpoints together)
 * should not be sent, from what was sent and what came back in time of that. Guards against the overload in which late
 * and rejected requests are repeated and the backend works for nobody.
 *
 * <p>Times in milliseconds, fractions 0 to 1. After "Handling Overload" in Site Reliability Engineering: the rejected
 * part is (requests - K x accepts) / (requests + 1), with {@link #HEADROOM} as K.
 */
final class AdaptiveThrottle {
    /** Some ten fetches at a proxy with a few a second. */
    static final double HALF_LIFE_MS = 4000;
    /** More than what comes back in time is sent, or nobody would see that the backend can do more again. */
    private static final double HEADROOM = 1.2;

    private final DecayingCounter requested = new DecayingCounter();
    private final DecayingCounter completedInTime = new DecayingCounter();

    /** The part of what is wanted that should not be sent; none where it is not over 0. */
    double excess(double nowMs) {
        decay(nowMs);
        return (requested.value() - HEADROOM * completedInTime.value() - 1) / (requested.value() + 1);
    }

    /** How often a request is sent for each that completes in time; 1 or more. */
    double overloadRatio(double nowMs) {
        decay(nowMs);
        return Math.max(1, (requested.value() + 1) / (completedInTime.value() + 1));
    }

    /** Whether so little completes in time that slowness of one endpoint says nothing of that endpoint. */
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

    /** A request never got there: no evidence of load. Counted, it would keep the throttle shut for seconds after. */
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

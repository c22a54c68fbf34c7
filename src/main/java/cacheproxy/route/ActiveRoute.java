package cacheproxy.route;

/** A route in force: its pools, its limits and its counters. Not thread-safe. */
final class ActiveRoute {
    private final String name;
    private final PoolBalancer pool;
    private final PoolBalancer fallback;
    private final PolicyLimits limits;
    private long requests;
    private long fallbacks;
    private long rejected;
    private long throttledAttempts;

    /**
     * A route that has had no request yet.
     *
     * @param fallback null if it has none
     */
    ActiveRoute(String name, PoolBalancer pool, PoolBalancer fallback, PolicyLimits limits) {
        this.name = name;
        this.pool = pool;
        this.fallback = fallback;
        this.limits = limits;
    }

    PoolBalancer pool() {
        return pool;
    }

    /** The pool that serves what the first can't; null if there is none. */
    PoolBalancer fallback() {
        return fallback;
    }

    PolicyLimits limits() {
        return limits;
    }

    /** Counts the pools as reachable by one more open request, or one less. */
    void addReachableBy(int change) {
        pool.addReachableBy(change);
        if (fallback != null) {
            fallback.addReachableBy(change);
        }
    }

    void onRequest() {
        requests++;
    }

    void onRejected() {
        rejected++;
    }

    void onFallback() {
        fallbacks++;
    }

    void onThrottledAttempt() {
        throttledAttempts++;
    }

    RouteStatus status() {
        return new RouteStatus(name, requests, fallbacks, rejected, throttledAttempts);
    }
}

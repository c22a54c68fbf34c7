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
     * Creates the route with all counters at 0.
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

    /** The pool that serves requests which the first one can't serve; null if there is none. */
    PoolBalancer fallback() {
        return fallback;
    }

    PolicyLimits limits() {
        return limits;
    }

    /** Changes the number of open requests that can reach each of the pools. */
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

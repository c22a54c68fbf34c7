package cacheproxy.route;

import java.util.HashMap;
import java.util.Map;

/** Maps the timer tokens of the pools' load balancers to tokens that are unique at the dispatcher. */
final class PoolTimers {
    /**
     * A timer of a pool.
     *
     * @param token as its load balancer has set it
     */
    record PoolTimer(PoolBalancer pool, int token) {}

    private final Map<Integer, PoolTimer> timers = new HashMap<>();
    private int lastToken;

    /** Registers a timer; the token for the dispatcher. */
    int add(PoolBalancer pool, int token) {
        timers.put(++lastToken, new PoolTimer(pool, token));
        return lastToken;
    }

    /** Removes and returns the timer of a dispatcher's token, as each fires once; null if there is none. */
    PoolTimer remove(int token) {
        return timers.remove(token);
    }
}

package cacheproxy.route;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Which pools wait for the result of a health check; an endpoint of several pools is checked once for all of them. */
final class PendingHealthChecks {
    private final Map<Integer, Set<PoolBalancer>> waiting = new HashMap<>();

    /** Whether a check of the endpoint is in progress. */
    boolean isPending(int endpointId) {
        return waiting.containsKey(endpointId);
    }

    void add(int endpointId, PoolBalancer pool) {
        waiting.computeIfAbsent(endpointId, id -> new LinkedHashSet<>()).add(pool);
    }

    /** Ends the check; the pools that wait for its result, in the order in which they asked. */
    Set<PoolBalancer> remove(int endpointId) {
        Set<PoolBalancer> pools = waiting.remove(endpointId);
        return pools == null ? Set.of() : pools;
    }
}

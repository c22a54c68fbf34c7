package cacheproxy.route;

/**
 * Routes for the same keys, indexed by their conditions and the names in these: a hash table with open addressing. Most
 * tables hold one route, which is kept without arrays.
 */
class ConditionTable {
    private static final int INITIAL_CAPACITY = 8;
    private static final long HASH_FACTOR = 0x9e3779b97f4a7c15L;
    /** Bits for the number of a tenant, a class or a front; together they leave four for the set of conditions. */
    private static final int NAME_BITS = 20;

    private long firstKey;
    private Route first;
    private long[] keys;
    private Route[] routes;
    private int size;
    /** A bit for each set of conditions that a route of the table has. */
    private int conditionMasks;

    /**
     * Adds a route for these numbers of tenant, class and front.
     *
     * @return the route that has the same conditions and names already, which stays; null if there was none
     */
    final Route put(Route route, int tenant, int serviceClass, int front) {
        int mask = route.conditionMask();
        long key = key(mask, tenant, serviceClass, front);
        conditionMasks |= 1 << mask;
        if (size == 0) {
            size = 1;
            firstKey = key;
            first = route;
            return null;
        }
        ensureCapacity();
        int slot = slot(key);
        if (routes[slot] != null) {
            return routes[slot];
        }
        size++;
        keys[slot] = key;
        routes[slot] = route;
        return null;
    }

    private void ensureCapacity() {
        if (routes == null) {
            grow(INITIAL_CAPACITY);
        } else if (size * 2 >= keys.length) {
            grow(keys.length * 2);
        }
    }

    private void grow(int capacity) {
        long[] oldKeys = routes == null ? new long[] {firstKey} : keys;
        Route[] oldRoutes = routes == null ? new Route[] {first} : routes;
        keys = new long[capacity];
        routes = new Route[capacity];
        for (int i = 0; i < oldRoutes.length; i++) {
            if (oldRoutes[i] != null) {
                int slot = slot(oldKeys[i]);
                keys[slot] = oldKeys[i];
                routes[slot] = oldRoutes[i];
            }
        }
    }

    final boolean isEmpty() {
        return size == 0;
    }

    /** The route with the most specific conditions that these numbers meet; null if there is none. */
    final Route get(int tenant, int serviceClass, int front) {
        for (int untried = conditionMasks; untried != 0; ) {
            int mask = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(untried);
            untried ^= 1 << mask;
            Route found = get(key(
                    mask,
                    (mask & Route.TENANT_BIT) == 0 ? NameNumbers.ANY : tenant,
                    (mask & Route.CLASS_BIT) == 0 ? NameNumbers.ANY : serviceClass,
                    (mask & Route.FRONT_BIT) == 0 ? NameNumbers.ANY : front));
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Route get(long key) {
        if (routes != null) {
            return routes[slot(key)];
        }
        return firstKey == key ? first : null;
    }

    /** The slot of a key, or the free slot where it would be inserted. */
    private int slot(long key) {
        int slot = (int) ((key * HASH_FACTOR) >>> Integer.SIZE) & keys.length - 1;
        while (routes[slot] != null && keys[slot] != key) {
            slot = slot + 1 & keys.length - 1;
        }
        return slot;
    }

    private static long key(int mask, int tenant, int serviceClass, int front) {
        return (long) mask << (3 * NAME_BITS)
                | (long) tenant << (2 * NAME_BITS)
                | (long) serviceClass << NAME_BITS
                | front;
    }
}

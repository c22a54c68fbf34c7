package cacheproxy.route;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All that is set about routing, checked: names are told once and known, and no two routes are equally specific. Large
 * ones take their time to make, so they are made before they are handed to an event loop.
 *
 * @param hash alike for what means the same
 * @param table the routes, ready to be matched
 */
public record Routing(String hash, Map<String, Pool> pools, Map<String, RoutePolicy> policies, RouteTable table) {
    /** The fronts that there are, by the index that requests name them by. */
    public static final List<String> FRONTS = List.of("meta", "http", "mqtt");
    /** The index of the meta front in {@link #FRONTS}. */
    public static final int META_FRONT = 0;

    /** Checks it; an IllegalArgumentException tells what is wrong. */
    public Routing {
        pools = new LinkedHashMap<>(pools);
        policies = new LinkedHashMap<>(policies);
        Set<String> names = new HashSet<>();
        for (Route r : table.routes()) {
            if (!names.add(r.name())) {
                throw new IllegalArgumentException("two routes are called " + r.name());
            }
            if (!pools.containsKey(r.pool())
                    || (r.fallback() != null && !pools.containsKey(r.fallback()))
                    || (r.policy() != null && !policies.containsKey(r.policy()))) {
                throw new IllegalArgumentException("route " + r.name() + " names what there is not");
            }
        }
    }

    /** All routes. */
    public List<Route> routes() {
        return table.routes();
    }
}

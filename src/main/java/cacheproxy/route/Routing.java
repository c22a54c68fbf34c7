package cacheproxy.route;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A checked definition of pools, policies and routes: route names are unique, and the pools and policies they name
 * exist. Building a large one takes long: build it before it is handed to an event loop.
 *
 * @param hash equal for definitions that mean the same
 * @param pools by name, in the order of the configuration
 * @param policies by name, in the order of the configuration
 * @param table the routes, ready for matching
 */
public record Routing(String hash, Map<String, Pool> pools, Map<String, RoutePolicy> policies, RouteTable table) {
    /** The front protocols, by the index that requests carry. */
    public static final List<String> FRONTS = List.of("meta", "http", "mqtt");
    /** The index of the meta front in {@link #FRONTS}. */
    public static final int META_FRONT = 0;

    /**
     * Checks the names.
     *
     * @throws InvalidRouteException if a route has another's name, or names a pool or policy that does not exist
     */
    public Routing {
        pools = new LinkedHashMap<>(pools);
        policies = new LinkedHashMap<>(policies);
        Set<String> names = new HashSet<>();
        for (Route route : table.routes()) {
            if (!names.add(route.name())) {
                throw new InvalidRouteException("two routes have the name " + route.name());
            }
            if (!pools.containsKey(route.pool())
                    || (route.fallback() != null && !pools.containsKey(route.fallback()))
                    || (route.policy() != null && !policies.containsKey(route.policy()))) {
                throw new InvalidRouteException(
                        "route " + route.name() + " names a pool or policy that does not exist");
            }
        }
    }

    /** All routes, in the order of the configuration. */
    public List<Route> routes() {
        return table.routes();
    }
}

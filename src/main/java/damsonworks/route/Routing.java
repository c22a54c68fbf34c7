package damsonworks.route;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All that is set about routing, checked: names are told once and known, and no two routes are equally specific.
 *
 * @param version counts what this instance has had, from 1
 * @param hash    alike for what means the same
 */
public record Routing(int version, String hash, Map<String, Pool> pools, Map<String, RoutePolicy> policies,
        List<Route> routes) {
    /** The fronts that there are, by the index that requests name them by. */
    public static final List<String> FRONTS = List.of("meta", "http", "mqtt");
    /** The index of the meta front in {@link #FRONTS}. */
    public static final int META = 0;

    /** Checks it; an IllegalArgumentException tells what is wrong. */
    public Routing {
        pools = new LinkedHashMap<>(pools);
        policies = new LinkedHashMap<>(policies);
        routes = List.copyOf(routes);
        Set<String> names = new HashSet<>();
        for (Route r : routes) {
            if (!names.add(r.name())) {
                throw new IllegalArgumentException("two routes are called " + r.name());
            }
            if (!pools.containsKey(r.pool()) || r.fallback() != null && !pools.containsKey(r.fallback())
                    || r.policy() != null && !policies.containsKey(r.policy())) {
                throw new IllegalArgumentException("route " + r.name() + " names what there is not");
            }
        }
        RouteTable.conflicts(routes).stream().findFirst().ifPresent(c -> {
            throw new IllegalArgumentException("routes " + c.first().name() + " and " + c.second().name()
                    + " are equally specific");
        });
    }
}

package cacheproxy.route;

import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The pools in use, and the draining ones, which the configuration no longer names but open requests can still reach.
 * The pool of all endpoints always exists and comes first. Not thread-safe.
 */
final class PoolRegistry {
    private static final long NAME_HASH_FACTOR = 0x9e3779b97f4a7c15L;

    private final Supplier<RoutingSettings> settings;
    private final long seed;
    private final EndpointCatalog catalog;
    private final PoolBalancer.ActionsFactory actions;
    private final List<PoolBalancer> pools = new ArrayList<>();
    private final PoolBalancer allEndpoints;
    /** The traffic fraction of each zone that the fleet set last; applied to pools that are created later. */
    private final Map<Integer, ZoneDirective> zones = new HashMap<>();

    PoolRegistry(
            Supplier<RoutingSettings> settings,
            long seed,
            EndpointCatalog catalog,
            PoolBalancer.ActionsFactory actions) {
        this.settings = settings;
        this.seed = seed;
        this.catalog = catalog;
        this.actions = actions;
        allEndpoints = create(Pool.ALL, true, seed);
        pools.add(allEndpoints);
    }

    private PoolBalancer create(Pool pool, boolean ofAllEndpoints, long poolSeed) {
        CarpLoadBalancer loadBalancer = new CarpLoadBalancer(settings.get(), poolSeed);
        loadBalancer.onZoneDirectives(0, List.copyOf(zones.values()), null);
        return new PoolBalancer(pool, ofAllEndpoints, catalog, loadBalancer, actions);
    }

    /**
     * The pool of all endpoints, which serves requests that no route matches and keeps the endpoint list up to date.
     */
    PoolBalancer allEndpoints() {
        return allEndpoints;
    }

    /** A copy of the list of pools, so that it does not change during iteration. */
    List<PoolBalancer> snapshot() {
        return List.copyOf(pools);
    }

    /**
     * Applies the pools of a new configuration: keeps those of the same name with their learned state, creates new
     * ones, and drains those that it does not name.
     *
     * @return the pools of the configuration, by name
     */
    Map<String, PoolBalancer> replace(Collection<Pool> definitions) {
        Map<String, PoolBalancer> obsolete = new HashMap<>();
        for (PoolBalancer pool : pools) {
            if (!pool.isOfAllEndpoints() && !pool.isDraining()) {
                obsolete.put(pool.name(), pool);
            }
        }
        Map<String, PoolBalancer> named = new HashMap<>();
        for (Pool definition : definitions) {
            PoolBalancer pool = obsolete.remove(definition.name());
            if (pool == null) {
                // The name is part of the seed, so that the pools of an instance make different random choices.
                pool = create(definition, false, seed ^ definition.name().hashCode() * NAME_HASH_FACTOR);
                pools.add(pool);
            }
            pool.redefine(definition);
            named.put(definition.name(), pool);
        }
        obsolete.values().forEach(PoolBalancer::startDraining);
        removeDrained();
        return named;
    }

    /** Removes draining pools that no open request can reach any more. */
    void removeDrained() {
        pools.removeIf(PoolBalancer::isDrained);
    }

    void onZoneDirectives(double nowMs, List<ZoneDirective> directives, RoutingActions out) {
        for (ZoneDirective directive : directives) {
            zones.put(directive.zone(), new ZoneDirective(directive.zone(), directive.trafficFraction(), false, false));
        }
        pools.forEach(pool -> pool.onZoneDirectives(nowMs, directives, out));
    }

    /** Whether an endpoint is in a pool, and every pool that has it avoids it. */
    boolean isAvoided(double nowMs, int endpointId) {
        boolean listed = false;
        for (PoolBalancer pool : pools) {
            if (pool.contains(endpointId)) {
                listed = true;
                if (!pool.isAvoided(nowMs, endpointId)) {
                    return false;
                }
            }
        }
        return listed;
    }

    /** The learned state of the pools, by name; draining pools are left out. */
    Map<String, LearnedState> learnedState(double nowMs) {
        Map<String, LearnedState> learned = new HashMap<>();
        pools.stream()
                .filter(pool -> !pool.isDraining())
                .forEach(pool -> learned.put(pool.name(), pool.learnedState(nowMs)));
        return learned;
    }

    void restore(double nowMs, Map<String, LearnedState> learned) {
        for (PoolBalancer pool : pools) {
            if (learned.containsKey(pool.name())) {
                pool.restore(nowMs, learned.get(pool.name()));
            }
        }
    }

    List<PoolStatus> status() {
        return pools.stream().map(PoolBalancer::status).toList();
    }
}

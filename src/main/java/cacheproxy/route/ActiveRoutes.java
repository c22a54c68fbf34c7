package cacheproxy.route;

import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import cacheproxy.routing.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The routes in force: finds the route of a request, and replaces all routes at a reload. The limits of a policy that a
 * reload leaves unchanged keep their counts. Not thread-safe.
 */
final class ActiveRoutes {
    /** Index of a tenant that no route names. */
    private static final int NO_TENANT = -1;

    /** For requests that no route matches. */
    private final ActiveRoute unmatched;

    private Routing routing;
    private RouteMatcher matcher;
    private int version;
    /** By identity: the table returns the same objects, and hashing a route's fields costs more than a match. */
    private IdentityHashMap<Route, ActiveRoute> active = new IdentityHashMap<>();

    /**
     * Creates it without routes; {@link #replace} must be called before any other method.
     *
     * @param allEndpoints serves the requests that no route matches
     */
    ActiveRoutes(PoolBalancer allEndpoints) {
        unmatched = new ActiveRoute("", allEndpoints, null, new PolicyLimits(RoutePolicy.UNLIMITED));
    }

    /** Replaces all routes atomically. */
    void replace(Routing next, Map<String, PoolBalancer> pools, RoutingSettings settings) {
        Map<String, PolicyLimits> limits = limits(next.policies());
        active = new IdentityHashMap<>();
        for (Route route : next.routes()) {
            active.put(
                    route,
                    new ActiveRoute(
                            route.name(),
                            pools.get(route.pool()),
                            route.fallback() == null ? null : pools.get(route.fallback()),
                            route.policy() == null ? unmatched.limits() : limits.get(route.policy())));
        }
        routing = next;
        bind(settings);
        version++;
    }

    private Map<String, PolicyLimits> limits(Map<String, RoutePolicy> policies) {
        Map<String, PolicyLimits> limits = new HashMap<>();
        for (ActiveRoute route : active.values()) {
            limits.putIfAbsent(route.limits().policy().name(), route.limits());
        }
        limits.values()
                .removeIf(
                        kept -> !kept.policy().equals(policies.get(kept.policy().name())));
        policies.values().forEach(policy -> limits.putIfAbsent(policy.name(), new PolicyLimits(policy)));
        return limits;
    }

    /** Binds the names in the routes to their indices in these settings. */
    void bind(RoutingSettings settings) {
        matcher = routing.table()
                .matcher(
                        settings.tenants().stream().map(Tenant::name).toList(),
                        settings.classes().stream().map(ServiceClass::name).toList(),
                        Routing.FRONTS);
    }

    /**
     * The route of a request.
     *
     * @param front the index of its front protocol in {@link Routing#FRONTS}
     */
    ActiveRoute find(Request request, CharSequence key, int front, RoutingSettings settings) {
        int tenant = settings.tenants().isEmpty() ? NO_TENANT : request.tenant();
        Route route = matcher.match(key, tenant, request.serviceClass(), front);
        return route == null ? unmatched : active.get(route);
    }

    /** The routing in force. */
    Routing routing() {
        return routing;
    }

    /** The number of routings that have been in force, this one included. */
    int version() {
        return version;
    }

    /** The routes in the order of the configuration, then that of requests which no route matches. */
    List<RouteStatus> status() {
        List<RouteStatus> rows = new ArrayList<>();
        routing.routes().forEach(route -> rows.add(active.get(route).status()));
        rows.add(unmatched.status());
        return rows;
    }
}

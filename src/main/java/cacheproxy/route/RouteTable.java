package cacheproxy.route;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds the route of a request, the most specific first: an exact key before a prefix, a longer prefix before a shorter
 * one, a pattern before the plain prefix it shares (the one with more literal characters first), then a named tenant, a
 * named class, a named front. The order in the configuration decides nothing; two routes that are equally specific and
 * that one request could match are a conflict. Immutable.
 */
public final class RouteTable {
    /** The most patterns with the same literal prefix, as they are tried one by one. */
    static final int MAX_PATTERNS = 2048;
    /** The most triples of tenant, class and front that all routes together may name. */
    static final int MAX_TRIPLES = 2_000_000;

    private final List<Route> routes;
    private final ConditionNames names;
    private final PrefixIndex prefixes;

    /**
     * Builds the table.
     *
     * @throws RouteConflictException if two routes are equally specific and one request could match both
     * @throws TooManyRoutesException if they name more than the table holds
     */
    public RouteTable(List<Route> routes) {
        this.routes = List.copyOf(routes);
        names = ConditionNames.of(this.routes);
        prefixes = new RouteTableBuilder(names, RouteTable::rejectConflict)
                .addAll(this.routes)
                .buildIndex();
    }

    private static void rejectConflict(Route first, Route second) {
        throw new RouteConflictException("routes " + first.name() + " and " + second.name() + " are equally specific");
    }

    /**
     * The pairs of routes that are equally specific and that one request could match.
     *
     * @throws TooManyRoutesException if the routes name more than a table holds
     */
    public static Set<RouteConflict> conflicts(List<Route> routes) {
        Set<RouteConflict> found = new LinkedHashSet<>();
        new RouteTableBuilder(ConditionNames.of(routes), (first, second) -> found.add(new RouteConflict(first, second)))
                .addAll(routes);
        return found;
    }

    /** All routes, in the order of the configuration. */
    public List<Route> routes() {
        return routes;
    }

    /** A matcher for requests that carry the indices of tenant, class and front in these lists. */
    public RouteMatcher matcher(List<String> tenantNames, List<String> classNames, List<String> frontNames) {
        return new RouteMatcher(
                this,
                names.tenants().byIndex(tenantNames),
                names.classes().byIndex(classNames),
                names.fronts().byIndex(frontNames));
    }

    /** The route of a request whose tenant, class and front have these numbers in the table; null if none matches. */
    Route match(CharSequence key, int tenant, int serviceClass, int front) {
        PrefixNode longest = prefixes.findLongest(key);
        if (longest == null) {
            return null;
        }
        if (longest.exact() != null && longest.length() == key.length()) {
            Route route = longest.exact().get(tenant, serviceClass, front);
            if (route != null) {
                return route;
            }
        }
        PrefixNode first = longest.hasRoutesForLongerKeys() ? longest : longest.shorter();
        for (PrefixNode node = first; node != null; node = node.shorter()) {
            Route route = node.match(key, tenant, serviceClass, front);
            if (route != null) {
                return route;
            }
        }
        return null;
    }
}

package cacheproxy.route;

/**
 * Finds the routes of requests that carry the indices of their tenant, class and front in lists of the installation.
 * Immutable.
 */
public final class RouteMatcher {
    private final RouteTable table;
    private final int[] tenants;
    private final int[] classes;
    private final int[] fronts;

    /** A matcher with the table's numbers of the names, by their index. */
    RouteMatcher(RouteTable table, int[] tenants, int[] classes, int[] fronts) {
        this.table = table;
        this.tenants = tenants;
        this.classes = classes;
        this.fronts = fronts;
    }

    /**
     * The most specific route that matches a request; null if none does. Allocates nothing.
     *
     * @param tenant index in the list of tenants; any other number is a name that no route uses
     * @param serviceClass index in the list of classes, likewise
     * @param front index in the list of fronts, likewise
     */
    public Route match(CharSequence key, int tenant, int serviceClass, int front) {
        return table.match(key, number(tenants, tenant), number(classes, serviceClass), number(fronts, front));
    }

    private static int number(int[] numbers, int index) {
        return index >= 0 && index < numbers.length ? numbers[index] : NameNumbers.ANY;
    }
}

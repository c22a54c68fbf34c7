package damsonworks.fleet;

import java.util.List;

/**
 * Where a fleet's proxies and nodes stand: they are dealt to the zones in turn, so that {@code proxy-0} and
 * {@code node-0} stand in the first. The origin and discovery stand in none of them.
 *
 * @param zones     their names, 1 to 16, all different
 * @param betweenMs what the way from one zone to another takes, one way, 0 to 1,000 ms
 * @param peers     whether proxies are told of one another and may send datagrams
 * @param view      whether they keep a view of the fleet by these
 * @param leaves    whether they leave zones as a fleet, which takes a view
 */
public record Layout(List<String> zones, double betweenMs, boolean peers, boolean view, boolean leaves) {
    /** One zone, and proxies that know nothing of each other. */
    public static final Layout PLAIN = new Layout(List.of("loopback"), 0, false, false, false);

    /** Checks the ranges. */
    public Layout {
        zones = List.copyOf(zones);
        if (zones.isEmpty() || zones.size() > 16 || zones.stream().distinct().count() != zones.size()) {
            throw new IllegalArgumentException("zones are " + zones + "; it takes 1 to 16 of different names");
        }
        if (!(betweenMs >= 0 && betweenMs <= 1000)) {
            throw new IllegalArgumentException("the way between zones takes " + betweenMs + " ms; it takes 0 to 1000");
        }
    }

    /** The number of the zone in which the proxy or node of this number stands. */
    public int zoneOf(int number) {
        return number % zones.size();
    }
}

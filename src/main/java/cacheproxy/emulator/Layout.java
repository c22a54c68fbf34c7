package cacheproxy.emulator;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Where a fleet's proxies and nodes stand: they are dealt to the zones in turn, so that {@code proxy-0} and
 * {@code node-0} stand in the first. The origin and discovery stand in none of them.
 *
 * @param zones their names, 1 to 16, all different
 * @param betweenMs what the way from one zone to another takes, one way, 0 to 1,000 ms
 * @param peers whether proxies are told of one another and may send datagrams
 * @param parts what they run with of what concerns the fleet
 */
public record Layout(List<String> zones, double betweenMs, boolean peers, Set<Part> parts) {
    /** What a proxy may run with or without. */
    public enum Part {
        /** It keeps a view of the fleet with the others. */
        VIEW,
        /** It leaves zones with the others, which takes a view. */
        ZONES,
        /** It stores what outlasts it in a folder of its own. */
        STATE,
        /** It comes back with the others in mind, which takes a view. */
        RECOVERY
    }

    /** One zone, and proxies that know nothing of each other. */
    public static final Layout PLAIN = new Layout(List.of("loopback"), 0, false, Set.of());

    /** Checks the ranges. */
    public Layout {
        zones = List.copyOf(zones);
        parts = parts.isEmpty() ? Set.of() : Set.copyOf(EnumSet.copyOf(parts));
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

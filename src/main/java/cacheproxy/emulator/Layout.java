package cacheproxy.emulator;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * The placement of a fleet's proxies and nodes: they are assigned to zones round-robin, so that {@code proxy-0} and
 * {@code node-0} are in the first zone. The origin and discovery are in no zone.
 *
 * @param zones the zone names, 1 to 16, all different
 * @param betweenMs one-way latency between two zones, 0 to 1,000 ms
 * @param peers whether proxies are configured with their peers and may send datagrams
 * @param parts the optional fleet features that the proxies run with
 */
public record Layout(List<String> zones, double betweenMs, boolean peers, Set<Part> parts) {
    /** An optional fleet feature of a proxy. */
    public enum Part {
        /** Keeps a fleet view that is shared with the peers. */
        VIEW,
        /** Coordinates zone failover with the peers; requires a view. */
        ZONES,
        /** Persists its state in a directory of its own. */
        STATE,
        /** Coordinates its recovery after a restart with the peers; requires a view. */
        RECOVERY
    }

    /** One zone, and proxies without peers. */
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

    /** The zone number of the proxy or node with this number. */
    public int zoneOf(int number) {
        return number % zones.size();
    }
}

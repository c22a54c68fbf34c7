package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The components of a fleet by name, as fault scripts and scenarios select them: {@code proxy-3}, {@code proxy-*},
 * {@code node-0}, {@code node-*}, {@code zone-a} (the proxies and nodes in that zone), {@code origin},
 * {@code discovery}.
 */
public final class Parties {
    /** The origin's name, also that of its entry in the host list. */
    public static final String ORIGIN = "origin";
    /** Discovery's name. */
    public static final String DISCOVERY = "discovery";

    private static final String PROXY = "proxy-";
    private static final String NODE = "node-";
    private static final String ZONE = "zone-";

    private final FleetSpec spec;

    /** The components of a fleet of this specification. */
    public Parties(FleetSpec spec) {
        this.spec = spec;
    }

    /** The name of the proxy with this number. */
    public static String proxy(int number) {
        return PROXY + number;
    }

    /** The name of the node with this number. */
    public static String node(int number) {
        return NODE + number;
    }

    /** Whether a component is a proxy. */
    public static boolean isProxy(String part) {
        return part.startsWith(PROXY);
    }

    /** The number of a proxy or node. */
    public static int number(String part) {
        return Integer.parseInt(part.substring(part.indexOf('-') + 1));
    }

    /** The number of a component's zone, negative for the origin and discovery. */
    public int zone(String part) {
        return part.equals(ORIGIN) || part.equals(DISCOVERY)
                ? -1
                : spec.layout().zoneOf(number(part));
    }

    /** All components. */
    public List<String> all() {
        List<String> all = new ArrayList<>(match(PROXY + "*"));
        all.addAll(match(NODE + "*"));
        all.add(ORIGIN);
        all.add(DISCOVERY);
        return all;
    }

    /** The components that a selector matches, in order; empty if it matches none of this fleet. */
    public List<String> match(String word) {
        List<String> parts = new ArrayList<>();
        if (word.equals(ORIGIN) || word.equals(DISCOVERY)) {
            parts.add(word);
        }
        add(parts, PROXY, spec.proxies(), word);
        add(parts, NODE, spec.nodes(), word);
        return parts;
    }

    private void add(List<String> parts, String kind, int many, String word) {
        int zone = word.startsWith(ZONE) ? spec.layout().zones().indexOf(word.substring(ZONE.length())) : -1;
        for (int i = 0; i < many; i++) {
            if (word.equals(kind + "*")
                    || word.equals(kind + i)
                    || (zone >= 0 && spec.layout().zoneOf(i) == zone)) {
                parts.add(kind + i);
            }
        }
    }

    /** The components that any of these selectors matches, without duplicates. */
    public Set<String> match(List<String> words) {
        Set<String> parts = new LinkedHashSet<>();
        words.forEach(w -> parts.addAll(match(w)));
        return parts;
    }

    /** The valid selectors, for error messages. */
    public String hint() {
        return "proxy-0 to proxy-" + (spec.proxies() - 1) + ", proxy-*, node-0 to node-" + (spec.nodes() - 1)
                + ", node-*, "
                + String.join(
                        ", ", spec.layout().zones().stream().map(z -> ZONE + z).toList())
                + ", origin, discovery";
    }
}

package cacheproxy.config.edge;

import cacheproxy.config.Configuration;
import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Difference;
import cacheproxy.config.Difference.Kind;
import cacheproxy.route.Route;
import cacheproxy.route.Routing;
import java.util.ArrayList;
import java.util.List;

/** Reports the differences between two configurations and the traffic that they affect. */
public final class Changes {
    private static final int MAX_ROUTES = 5;

    private Changes() {}

    /** A few lines per difference; empty if the configurations are equivalent. */
    public static List<String> text(Configuration before, Configuration after) {
        List<String> lines = new ArrayList<>();
        Routing a = RoutingSections.routing(before);
        Routing b = RoutingSections.routing(after);
        for (Difference d : Difference.between(before, after)) {
            lines.add(headline(d));
            d.detail().forEach(l -> lines.add("    " + l));
            if (d.kind() != Kind.RENAMED) {
                List<String> traffic = d.after() == null ? traffic(d.before(), a) : traffic(d.after(), b);
                traffic.forEach(t -> lines.add("    for " + t));
            }
        }
        return lines;
    }

    private static String headline(Difference d) {
        return switch (d.kind()) {
            case ADDED -> "+ " + d.after().title() + " (" + d.after().place().fileAndLine() + ")";
            case REMOVED ->
                "- " + d.before().title() + " (" + d.before().place().fileAndLine() + ")";
            case CHANGED ->
                "~ " + d.after().title() + " (" + d.before().place().fileAndLine() + ", "
                        + d.after().place().fileAndLine() + ")";
            case RENAMED ->
                "= " + d.before().title() + " is now called " + d.after().title() + "; otherwise alike";
        };
    }

    /** The traffic that an entry affects: a route's requests, or those of the routes that reference it. */
    private static List<String> traffic(Entry entry, Routing routing) {
        if (entry.section().name().equals("quotas")) {
            return List.of("all organisations: what is lent to one hangs on the quotas of the others");
        }
        List<String> all = new ArrayList<>();
        for (Route r : routing.routes()) {
            String as = switch (entry.section().name()) {
                case "route" -> r.name().equals(entry.name()) ? "" : null;
                case "policy" -> entry.name().equals(r.policy()) ? " (route " + r.name() + ")" : null;
                default ->
                    entry.name().equals(r.pool())
                            ? " (route " + r.name() + ")"
                            : entry.name().equals(r.fallback()) ? " (fallback of route " + r.name() + ")" : null;
            };
            if (as != null) {
                all.add(r.describeTraffic() + as);
            }
        }
        if (all.size() <= MAX_ROUTES) {
            return all;
        }
        List<String> some = new ArrayList<>(all.subList(0, MAX_ROUTES));
        some.add((all.size() - MAX_ROUTES) + " more routes");
        return some;
    }
}

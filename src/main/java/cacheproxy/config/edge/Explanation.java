package cacheproxy.config.edge;

import cacheproxy.proxy.ConfiguredEndpoints;
import cacheproxy.route.KnownNames;
import cacheproxy.route.Pool;
import cacheproxy.route.Route;
import cacheproxy.route.RoutePolicy;
import cacheproxy.route.RouteTable;
import cacheproxy.route.Routing;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** Explains how a request is routed. */
public final class Explanation {
    private static final int MAX_SHOWN = 5;

    private Explanation() {}

    /**
     * Human-readable lines.
     *
     * @param endpoints the configured endpoints; null if unknown, then no servers are listed
     * @param kind the service class, or null for one that no route names
     */
    public static List<String> text(
            Routing routing, ConfiguredEndpoints endpoints, String key, String kind, String tenant, String front) {
        KnownNames known = endpoints == null ? null : endpoints.routableNames();
        List<String> lines = new ArrayList<>();
        if (known != null && kind != null && !known.classes().contains(kind)) {
            lines.add("note: this instance knows no class " + kind + " and would turn the request away");
        }
        List<Route> remaining = new ArrayList<>(routing.routes());
        Route found = match(remaining, key, kind, tenant, front);
        if (found == null) {
            lines.add("route     none matches: all servers, by the settings' own policy");
            servers(lines, endpoints, Pool.ALL, key, "servers   ");
            return lines;
        }
        lines.add("route     " + found.name() + " (" + found.describeTraffic() + ")");
        remaining.remove(found);
        Route next = match(remaining, key, kind, tenant, front);
        for (int i = 0; next != null && i < MAX_SHOWN; i++) {
            lines.add("          before " + next.name() + " (" + next.describeTraffic() + "): "
                    + precedence(found, next));
            remaining.remove(next);
            next = match(remaining, key, kind, tenant, front);
        }
        Pool pool = routing.pools().get(found.pool());
        lines.add("pool      " + pool.name() + selection(pool));
        servers(lines, endpoints, pool, key, "servers   ");
        if (found.fallback() != null) {
            Pool fallback = routing.pools().get(found.fallback());
            lines.add("fallback  " + fallback.name() + selection(fallback));
            servers(lines, endpoints, fallback, key, "servers   ");
        }
        lines.add("policy    "
                + (found.policy() == null
                        ? "the settings' own"
                        : policy(routing.policies().get(found.policy()))));
        return lines;
    }

    private static Route match(List<Route> routes, String key, String kind, String tenant, String front) {
        // a missing tenant or class is matched like one that no route names
        return new RouteTable(routes)
                .matcher(
                        tenant == null ? List.of() : List.of(tenant),
                        kind == null ? List.of() : List.of(kind),
                        Routing.FRONTS)
                .match(key, 0, 0, Routing.FRONTS.indexOf(front));
    }

    private static String precedence(Route first, Route second) {
        String a = Objects.toString(first.key(), "");
        String b = Objects.toString(second.key(), "");
        return !a.equals(b) && !a.isEmpty()
                ? b.isEmpty() ? "it names keys" : "\"" + a + "\" says more of the key than \"" + b + "\""
                : !first.tenants().isEmpty() && second.tenants().isEmpty()
                        ? "it names the tenant"
                        : !first.classes().isEmpty() && second.classes().isEmpty()
                                ? "it names the class"
                                : "it names the front";
    }

    private static String selection(Pool p) {
        List<String> parts = new ArrayList<>();
        appendPart(parts, "site", p.sites());
        appendPart(parts, "kind", p.kinds());
        appendPart(parts, "label", p.labels());
        appendPart(parts, "host", p.hosts());
        return parts.isEmpty() ? " (all servers)" : " (" + String.join(", ", parts) + ")";
    }

    private static void appendPart(List<String> parts, String attribute, Iterable<?> names) {
        List<String> all = new ArrayList<>();
        names.forEach(n -> all.add(n.toString()));
        if (!all.isEmpty()) {
            parts.add(
                    attribute + " " + String.join(" or ", all.stream().sorted().toList()));
        }
    }

    private static void servers(
            List<String> lines, ConfiguredEndpoints endpoints, Pool pool, String key, String words) {
        if (endpoints == null) {
            lines.add(words + "not known without an instance's configuration (--with)");
            return;
        }
        List<String> ranks = endpoints.rank(pool, key);
        lines.add(words
                + (ranks.isEmpty()
                        ? "none" + (pool.origin() ? "; reads go to the origin" : "")
                        : String.join(", ", ranks.subList(0, Math.min(MAX_SHOWN, ranks.size())))
                                + (ranks.size() > MAX_SHOWN ? " and " + (ranks.size() - MAX_SHOWN) + " more" : "")));
    }

    private static String policy(RoutePolicy p) {
        StringBuilder s = new StringBuilder(p.name());
        s.append(p.deadlineMs() == Double.POSITIVE_INFINITY ? "" : ", deadline " + p.deadlineMs() + " ms");
        s.append(p.maxAttempts() == Integer.MAX_VALUE ? "" : ", " + p.maxAttempts() + " attempts");
        s.append(
                p.retryRatio() == Double.POSITIVE_INFINITY
                        ? ""
                        : ", retries " + p.retryRatio() * 100 + "% and " + p.minRetriesPerSecond() + "/s");
        s.append(p.hedgingAllowed() ? "" : ", no copies");
        s.append(
                p.rejectedRequests() == RoutePolicy.RejectedRequests.NOTHING
                        ? ""
                        : ", turns away " + p.rejectedRequests().setting().toUpperCase(Locale.ROOT));
        s.append(p.maxOpenRequests() == Integer.MAX_VALUE ? "" : ", " + p.maxOpenRequests() + " open at most");
        return s.toString();
    }
}

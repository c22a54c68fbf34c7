package cacheproxy.config.edge;

import cacheproxy.config.Configuration;
import cacheproxy.config.Configuration.Entry;
import cacheproxy.config.Problems;
import cacheproxy.config.Schema;
import cacheproxy.config.Section;
import cacheproxy.config.Section.Naming;
import cacheproxy.config.Source.Place;
import cacheproxy.config.Suggestions;
import cacheproxy.config.Type;
import cacheproxy.route.EndpointAttributes;
import cacheproxy.route.Glob;
import cacheproxy.route.InvalidPatternException;
import cacheproxy.route.KnownNames;
import cacheproxy.route.Pool;
import cacheproxy.route.Route;
import cacheproxy.route.RouteConflict;
import cacheproxy.route.RoutePolicy;
import cacheproxy.route.RoutePolicy.RejectedRequests;
import cacheproxy.route.RouteTable;
import cacheproxy.route.Routing;
import cacheproxy.route.TooManyRoutesException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The sections {@code pool}, {@code policy} and {@code route}. */
public final class RoutingSections {
    private static final int MAX_NAME_LENGTH = 200;
    private static final double PERCENT = 100;
    private static final double SECONDS_PER_HOUR = 3600;

    private RoutingSections() {}

    /**
     * Registers the sections.
     *
     * @param known the names known to an instance; with null, names of classes, tenants, sites and kinds are not
     *     checked
     */
    public static Schema register(Schema schema, KnownNames known) {
        Type name = Type.name(MAX_NAME_LENGTH);
        schema.register(new Section("pool", Naming.NAMED, "a selection of the servers on the list")
                .list("site", name, "where its servers stand")
                .list("kind", name, "of which kind they are")
                .list("label", name, "labels, one of which they carry")
                .list("host", Type.text(MAX_NAME_LENGTH), "patterns, one of which their names match")
                .optional("origin", Type.flag(), "on", "whether the origin is asked for what they lack")
                .block(new Section("weight", Naming.MANY, "another weight for some of them")
                        .required("host", Type.text(MAX_NAME_LENGTH), "pattern of their names")
                        .required("value", Type.factor("0", "1000"), "the weight, 1 for one like the others")));
        schema.register(new Section("policy", Naming.NAMED, "limits for the requests of a route")
                .optional("deadline", Type.duration("1ms", "24h"), null, "the longest that a request may wait")
                .optional("attempts", Type.count(1, 16), null, "servers at which it may be tried, over both pools")
                .optional("retry-budget", Type.share("0%", "1000%"), null, "further attempts as a part of all requests")
                .optional(
                        "retry-floor",
                        Type.rate("0/s", "1000000/s"),
                        "1/s",
                        "further attempts that are allowed however few requests there are")
                .optional("copies", Type.flag(), "on", "whether a second attempt may go out beside the first")
                .optional(
                        "turn-away",
                        Type.choice("nothing", "reads", "writes", "all"),
                        "nothing",
                        "what is refused at once")
                .optional("max-open", Type.count(0, 10_000_000), null, "more requests at a time are refused at once")
                .optional(
                        "retry-after",
                        Type.duration("0ms", "1h"),
                        "200ms",
                        "when those refused by this policy are told to come back"));
        schema.register(new Section("route", Naming.NAMED, "which requests go where")
                .optional("key", Type.text(Glob.MAX_LENGTH), null, "pattern of the key: * any characters, ? one")
                .list("tenant", name, "whose they are")
                .list("class", name, "of which class they are")
                .list("front", Type.choice(Routing.FRONTS.toArray(String[]::new)), "through which front they came")
                .required("pool", Type.reference("pool"), "where they go")
                .optional("fallback", Type.reference("pool"), null, "where they go when that can't serve them")
                .optional("policy", Type.reference("policy"), null, "limits that hold for them"));
        return schema.check((configuration, problems) -> check(configuration, known, problems));
    }

    // ---- checks

    private static void check(Configuration configuration, KnownNames known, Problems problems) {
        for (Entry pool : configuration.of("pool")) {
            checkPatterns(pool, "host", problems);
            pool.blocks().forEach(w -> checkPatterns(w, "host", problems));
            if (known != null) {
                checkNames(pool, "site", known.sites(), problems);
                checkNames(pool, "kind", known.kinds(), problems);
            }
            checkWeightOverlaps(pool, problems);
        }
        for (Entry route : configuration.of("route")) {
            checkPatterns(route, "key", problems);
            if (known != null) {
                checkNames(route, "class", known.classes(), problems);
                checkNames(route, "tenant", known.tenants(), problems);
            }
            if (route.has("fallback") && route.text("fallback").equals(route.text("pool"))) {
                problems.add(
                        route.placeOf("fallback"),
                        "a fallback that is the pool itself",
                        "name another pool, or leave it out");
            }
        }
        checkUnused(configuration, problems);
        if (problems.none()) {
            checkConflicts(configuration, problems);
        }
    }

    private static void checkPatterns(Entry entry, String attribute, Problems problems) {
        for (String pattern : entry.texts(attribute)) {
            try {
                new Glob(pattern);
            } catch (InvalidPatternException e) {
                problems.add(entry.placeOf(attribute), e.getMessage(), "write one * for any characters, ? for one");
            }
        }
    }

    private static void checkNames(Entry entry, String attribute, List<String> known, Problems problems) {
        for (String name : entry.texts(attribute)) {
            if (!known.contains(name)) {
                problems.add(
                        entry.placeOf(attribute),
                        "no " + attribute + " is called \"" + name + "\" here",
                        known.isEmpty()
                                ? "this instance knows no " + attribute + "; leave the line out"
                                : Suggestions.suggest(name, known));
            }
        }
    }

    /** Two weights must not match the same server, as its weight would depend on their order. */
    private static void checkWeightOverlaps(Entry pool, Problems problems) {
        if (!problems.none()) {
            return;
        }
        List<Entry> weights = pool.blocks();
        for (int i = 0; i < weights.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (new Glob(weights.get(i).text("host"))
                        .overlaps(new Glob(weights.get(j).text("host")))) {
                    problems.add(
                            weights.get(i).placeOf("host"),
                            "a server could match this weight and that at "
                                    + weights.get(j).placeOf("host").fileAndLine(),
                            "make the patterns apart");
                }
            }
        }
    }

    /** Reports pools and policies that no route references; most likely a name is mistyped elsewhere. */
    private static void checkUnused(Configuration configuration, Problems problems) {
        Set<String> used = new HashSet<>();
        for (Entry r : configuration.of("route")) {
            used.add("pool " + r.text("pool"));
            used.add("pool " + r.text("fallback"));
            used.add("policy " + r.text("policy"));
        }
        for (Entry e : configuration.entries()) {
            String section = e.section().name();
            if ((section.equals("pool") || section.equals("policy")) && !used.contains(section + " " + e.name())) {
                problems.add(e.place(), "no route names " + e.title(), "name it in a route, or take it out");
            }
        }
    }

    private static void checkConflicts(Configuration configuration, Problems problems) {
        Map<String, Place> places = new HashMap<>();
        configuration.of("route").forEach(r -> places.put(r.name(), r.place()));
        try {
            for (RouteConflict c : RouteTable.conflicts(routes(configuration))) {
                problems.add(
                        places.get(c.second().name()),
                        "equally specific as route \"" + c.first().name() + "\" at "
                                + places.get(c.first().name()).fileAndLine() + ", and a request could match both ("
                                + c.second().describeTraffic() + ")",
                        "add a condition to one of them, or join them");
            }
        } catch (TooManyRoutesException e) {
            problems.add(
                    configuration.of("route").get(0).place(), e.getMessage(), "name fewer, or leave a condition out");
        }
    }

    // ---- from entries to routing

    /** The routing of a checked configuration. */
    public static Routing routing(Configuration configuration) {
        Map<String, Pool> pools = new LinkedHashMap<>();
        configuration.of("pool").forEach(e -> pools.put(e.name(), pool(e)));
        Map<String, RoutePolicy> policies = new LinkedHashMap<>();
        configuration.of("policy").forEach(e -> policies.put(e.name(), policy(e)));
        return new Routing(configuration.hash(), pools, policies, new RouteTable(routes(configuration)));
    }

    /** One line per pool that selects none of the given servers. */
    public static List<String> emptyPools(Configuration configuration, List<EndpointAttributes> servers) {
        return configuration.of("pool").stream()
                .filter(e -> servers.stream().noneMatch(pool(e)::selects))
                .map(e -> e.place() + ": " + e.title() + " selects none of the " + servers.size() + " servers")
                .toList();
    }

    private static List<Route> routes(Configuration configuration) {
        List<Route> routes = new ArrayList<>();
        for (Entry e : configuration.of("route")) {
            routes.add(new Route(
                    e.name(),
                    e.has("key") ? new Glob(e.text("key")) : null,
                    Set.copyOf(e.texts("tenant")),
                    Set.copyOf(e.texts("class")),
                    Set.copyOf(e.texts("front")),
                    e.text("pool"),
                    e.text("fallback"),
                    e.text("policy")));
        }
        return routes;
    }

    private static Pool pool(Entry e) {
        return new Pool(
                e.name(),
                Set.copyOf(e.texts("site")),
                Set.copyOf(e.texts("kind")),
                Set.copyOf(e.texts("label")),
                e.texts("host").stream().map(Glob::new).toList(),
                e.blocks().stream()
                        .map(w -> new Pool.Weight(new Glob(w.text("host")), (float) w.number("value", 1)))
                        .toList(),
                e.on("origin"));
    }

    private static RoutePolicy policy(Entry e) {
        return new RoutePolicy(
                e.name(),
                e.number("deadline", Double.POSITIVE_INFINITY),
                (int) e.number("attempts", Integer.MAX_VALUE),
                e.number("retry-budget", Double.POSITIVE_INFINITY) / PERCENT,
                e.number("retry-floor", 0) / SECONDS_PER_HOUR,
                e.on("copies"),
                RejectedRequests.of(e.text("turn-away")),
                (int) e.number("max-open", Integer.MAX_VALUE),
                e.number("retry-after", 0));
    }
}

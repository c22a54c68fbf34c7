package cacheproxy.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Sorts routes by the literal prefixes of their keys for a {@link RouteTable}, and finds conflicts. Used once. */
final class RouteTableBuilder {
    private static final Comparator<Route> MOST_SPECIFIC_FIRST = Comparator.comparingInt(Route::literalsAfterPrefix)
            .thenComparingInt(Route::conditionMask)
            .reversed();

    private final ConditionNames names;
    private final BiConsumer<Route, Route> onConflict;
    private final Map<String, PrefixNode> nodes = new HashMap<>();
    /** Triples of tenant, class and front added so far. */
    private int triples;

    /**
     * A builder without routes.
     *
     * @param onConflict takes each pair of routes that are equally specific and that one request could match
     */
    RouteTableBuilder(ConditionNames names, BiConsumer<Route, Route> onConflict) {
        this.names = names;
        this.onConflict = onConflict;
    }

    /**
     * Adds all routes.
     *
     * @throws TooManyRoutesException if they name more patterns or conditions than a table holds
     */
    RouteTableBuilder addAll(List<Route> routes) {
        Map<String, List<Route>> patterns = new HashMap<>();
        for (Route route : routes) {
            if (route.isPattern()) {
                patterns.computeIfAbsent(route.literalPrefix(), prefix -> new ArrayList<>())
                        .add(route);
            } else {
                add(route);
            }
        }
        patterns.forEach((prefix, list) -> node(prefix).setPatterns(sort(list)));
        return this;
    }

    /** The index of the prefixes of all routes. */
    PrefixIndex buildIndex() {
        int[] lengths = nodes.values().stream()
                .mapToInt(PrefixNode::length)
                .distinct()
                .sorted()
                .toArray();
        PrefixIndex index = new PrefixIndex(nodes.values(), lengths);
        nodes.values().forEach(node -> linkToShorter(node, lengths));
        return index;
    }

    private PrefixNode node(String prefix) {
        return nodes.computeIfAbsent(prefix, PrefixNode::new);
    }

    private void linkToShorter(PrefixNode node, int[] lengths) {
        for (int length : lengths) {
            if (length < node.length()) {
                PrefixNode shorter = nodes.get(node.prefix().substring(0, length));
                if (shorter != null && shorter.hasRoutesForLongerKeys()) {
                    node.setShorter(shorter);
                }
            }
        }
    }

    private void add(Route route) {
        PrefixNode node = node(route.literalPrefix());
        ConditionTable table = route.isExact() ? node.createExact() : node;
        for (int tenant : names.tenants().ofCondition(route.tenants())) {
            for (int serviceClass : names.classes().ofCondition(route.classes())) {
                for (int front : names.fronts().ofCondition(route.fronts())) {
                    countTriple();
                    Route other = table.put(route, tenant, serviceClass, front);
                    if (other != null) {
                        onConflict.accept(other, route);
                    }
                }
            }
        }
    }

    private void countTriple() {
        if (++triples > RouteTable.MAX_TRIPLES) {
            throw new TooManyRoutesException(
                    "routes name more than " + RouteTable.MAX_TRIPLES + " triples of tenant, class and front");
        }
    }

    private PatternRoute[] sort(List<Route> patterns) {
        if (patterns.size() > RouteTable.MAX_PATTERNS) {
            throw new TooManyRoutesException(patterns.size() + " patterns begin with \""
                    + patterns.get(0).literalPrefix() + "\"; at most " + RouteTable.MAX_PATTERNS
                    + " may, as they are tried one by one");
        }
        patterns.sort(MOST_SPECIFIC_FIRST);
        for (int i = 0; i < patterns.size(); i++) {
            findConflicts(patterns, i);
        }
        return patterns.stream().map(route -> PatternRoute.of(route, names)).toArray(PatternRoute[]::new);
    }

    /** Reports those behind the pattern of this index that are equally specific and overlap with it. */
    private void findConflicts(List<Route> sorted, int index) {
        Route route = sorted.get(index);
        for (int i = index + 1; i < sorted.size() && isEquallySpecific(route, sorted.get(i)); i++) {
            Route next = sorted.get(i);
            if (overlap(route.tenants(), next.tenants())
                    && overlap(route.classes(), next.classes())
                    && overlap(route.fronts(), next.fronts())
                    && route.key().overlaps(next.key())) {
                onConflict.accept(route, next);
            }
        }
    }

    private static boolean isEquallySpecific(Route a, Route b) {
        return a.literalsAfterPrefix() == b.literalsAfterPrefix() && a.conditionMask() == b.conditionMask();
    }

    private static boolean overlap(Set<String> a, Set<String> b) {
        return (a.isEmpty() && b.isEmpty()) || a.stream().anyMatch(b::contains);
    }
}

package damsonworks.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds a request's route, the most specific first: one whole key before a beginning, a longer beginning before a
 * shorter one, a pattern before the plain beginning it shares (the one with more literal characters first), then a
 * named tenant, a named class, a named front. Order in a file decides nothing; two routes that no rule tells apart and
 * that one request could match are a conflict, which {@link #conflicts} finds and the constructor refuses.
 *
 * <p>A trie over the keys' beginnings, with a hash table a node for each set of conditions: the time taken hangs on
 * the key's length, not on the number of routes, and nothing is allocated.
 */
public final class RouteTable {
    /** Routes that begin alike and go on by a pattern, which are tried one by one. */
    static final int MAX_PATTERNS = 256;
    /** Triples of tenant, class and front that routes name, in all. */
    static final int MAX_TRIPLES = 2_000_000;
    private static final int ANY = 0;

    /** Two routes that no rule tells apart. */
    public record Conflict(Route first, Route second) { }

    private final Names tenants;
    private final Names classes;
    private final Names fronts;
    private final Node root = new Node("");
    private int triples;

    /** Names of the table's own numbers; 0 stands for any and for names that no route knows. */
    private static final class Names {
        private final Map<String, Integer> numbers = new HashMap<>();
        private final int[] byIndex;

        Names(Collection<Set<String>> named, List<String> known) {
            named.forEach(set -> set.stream().sorted().forEach(n -> numbers.putIfAbsent(n, numbers.size() + 1)));
            byIndex = known.stream().mapToInt(n -> numbers.getOrDefault(n, ANY)).toArray();
        }

        int[] of(Set<String> names) {
            return names.isEmpty() ? new int[] {ANY} : names.stream().mapToInt(numbers::get).toArray();
        }

        int at(int index) {
            return index >= 0 && index < byIndex.length ? byIndex[index] : ANY;
        }
    }

    /** Routes by tenant, class and front, with open addressing. */
    private static final class Bucket {
        private long[] keys = new long[8];
        private Route[] routes = new Route[8];
        private int size;

        /** The route that stands there already, or null. */
        Route put(long key, Route route) {
            if (size * 2 >= keys.length) {
                long[] oldKeys = keys;
                Route[] old = routes;
                keys = new long[old.length * 2];
                routes = new Route[old.length * 2];
                size = 0;
                for (int i = 0; i < old.length; i++) {
                    if (old[i] != null) {
                        put(oldKeys[i], old[i]);
                    }
                }
            }
            int i = slot(key);
            if (routes[i] == null) {
                size++;
                keys[i] = key;
                routes[i] = route;
                return null;
            }
            return routes[i];
        }

        Route get(long key) {
            return routes[slot(key)];
        }

        private int slot(long key) {
            int i = (int) (key * 0x9e3779b97f4a7c15L >>> 32) & keys.length - 1;
            while (routes[i] != null && keys[i] != key) {
                i = i + 1 & keys.length - 1;
            }
            return i;
        }
    }

    /** A route with a pattern, and its conditions in the table's numbers. */
    private record Pattern(Route route, int[] tenants, int[] classes, int[] fronts) { }

    private static final class Node {
        /** What is read on the way from its parent to it. */
        String label;
        Node[] children = new Node[1];
        int childCount;
        /** By the set of conditions: the routes for this whole key, and those for all keys that begin so. */
        Bucket[] exact;
        Bucket[] prefix;
        Pattern[] patterns = new Pattern[0];
        /** The nearest on the way to the root that has routes for longer keys. */
        Node above;

        Node(String label) {
            this.label = label;
        }

        boolean forLonger() {
            return prefix != null || patterns.length > 0;
        }

        Node child(char first) {
            Node c = children[first * 31 & children.length - 1];
            if (c != null && c.label.charAt(0) == first) {
                return c;
            }
            return c == null ? null : probe(first);
        }

        private Node probe(char first) {
            int i = first * 31 & children.length - 1;
            for (Node c; (c = children[i]) != null; i = i + 1 & children.length - 1) {
                if (c.label.charAt(0) == first) {
                    return c;
                }
            }
            return null;
        }

        void put(Node child) {
            if ((childCount + 1) * 2 > children.length) {
                Node[] old = children;
                children = new Node[old.length * 2];
                for (Node c : old) {
                    if (c != null) {
                        children[free(c.label.charAt(0))] = c;
                    }
                }
            }
            int i = free(child.label.charAt(0));
            childCount += children[i] == null ? 1 : 0;
            children[i] = child;
        }

        /** Where a child of this first character stands or may stand. */
        private int free(char first) {
            int i = first * 31 & children.length - 1;
            while (children[i] != null && children[i].label.charAt(0) != first) {
                i = i + 1 & children.length - 1;
            }
            return i;
        }
    }

    /**
     * For requests that name class, tenant and front by their index in these lists. An IllegalArgumentException tells
     * of a conflict or of too much.
     */
    public RouteTable(List<Route> routes, List<String> tenants, List<String> classes, List<String> fronts) {
        this(routes, tenants, classes, fronts, null);
    }

    private RouteTable(List<Route> routes, List<String> tenantNames, List<String> classNames, List<String> frontNames,
            Set<Conflict> conflicts) {
        tenants = new Names(routes.stream().map(Route::tenants).toList(), tenantNames);
        classes = new Names(routes.stream().map(Route::classes).toList(), classNames);
        fronts = new Names(routes.stream().map(Route::fronts).toList(), frontNames);
        Map<String, List<Route>> patterns = new HashMap<>();
        for (Route r : routes) {
            if (r.pattern()) {
                patterns.computeIfAbsent(r.beginning(), b -> new ArrayList<>()).add(r);
            } else {
                add(r, conflicts);
            }
        }
        patterns.forEach((beginning, list) -> node(beginning).patterns = ordered(list, conflicts));
        link(root, null);
    }

    /** The pairs of routes that no rule tells apart and that one request could match. */
    public static Set<Conflict> conflicts(List<Route> routes) {
        Set<Conflict> found = new LinkedHashSet<>();
        new RouteTable(routes, List.of(), List.of(), List.of(), found);
        return found;
    }

    // ---- the making

    private static void meet(Route a, Route b, Set<Conflict> conflicts) {
        if (conflicts == null) {
            throw new IllegalArgumentException("routes " + a.name() + " and " + b.name() + " are equally specific");
        }
        conflicts.add(new Conflict(a, b));
    }

    private void add(Route r, Set<Conflict> conflicts) {
        Node node = node(r.beginning());
        Bucket[] buckets = r.exact() ? node.exact : node.prefix;
        if (buckets == null) {
            buckets = new Bucket[8];
            if (r.exact()) {
                node.exact = buckets;
            } else {
                node.prefix = buckets;
            }
        }
        int mask = r.mask();
        Bucket bucket = buckets[mask] == null ? buckets[mask] = new Bucket() : buckets[mask];
        for (int t : tenants.of(r.tenants())) {
            for (int c : classes.of(r.classes())) {
                for (int f : fronts.of(r.fronts())) {
                    if (++triples > MAX_TRIPLES) {
                        throw new IllegalArgumentException("routes name more than " + MAX_TRIPLES
                                + " triples of tenant, class and front");
                    }
                    Route other = bucket.put(packed(t, c, f), r);
                    if (other != null) {
                        meet(other, r, conflicts);
                    }
                }
            }
        }
    }

    private Pattern[] ordered(List<Route> list, Set<Conflict> conflicts) {
        if (list.size() > MAX_PATTERNS) {
            throw new IllegalArgumentException(list.size() + " patterns begin with \"" + list.get(0).beginning()
                    + "\"; at most " + MAX_PATTERNS + " may, as they are tried one by one");
        }
        list.sort(Comparator.comparingInt(Route::furtherLiterals).thenComparingInt(Route::mask).reversed());
        for (int i = 0; i < list.size(); i++) {
            Route a = list.get(i);
            for (int j = i + 1; j < list.size() && list.get(j).furtherLiterals() == a.furtherLiterals()
                    && list.get(j).mask() == a.mask(); j++) {
                Route b = list.get(j);
                if (meet(a.tenants(), b.tenants()) && meet(a.classes(), b.classes()) && meet(a.fronts(), b.fronts())
                        && a.key().meets(b.key())) {
                    meet(a, b, conflicts);
                }
            }
        }
        return list.stream().map(r -> new Pattern(r, tenants.of(r.tenants()), classes.of(r.classes()),
                fronts.of(r.fronts()))).toArray(Pattern[]::new);
    }

    private static boolean meet(Set<String> a, Set<String> b) {
        return a.isEmpty() && b.isEmpty() || a.stream().anyMatch(b::contains);
    }

    /** The node for a beginning, made if need be by cutting a label in two. */
    private Node node(String beginning) {
        Node n = root;
        int at = 0;
        while (at < beginning.length()) {
            Node child = n.child(beginning.charAt(at));
            if (child == null) {
                Node leaf = new Node(beginning.substring(at));
                n.put(leaf);
                return leaf;
            }
            int same = 0;
            while (same < child.label.length() && at + same < beginning.length()
                    && child.label.charAt(same) == beginning.charAt(at + same)) {
                same++;
            }
            if (same < child.label.length()) {
                Node middle = new Node(child.label.substring(0, same));
                n.put(middle); // takes the child's place, while that still begins as it did
                child.label = child.label.substring(same);
                middle.put(child);
                child = middle;
            }
            at += same;
            n = child;
        }
        return n;
    }

    private static void link(Node node, Node above) {
        node.above = above;
        for (Node c : node.children) {
            if (c != null) {
                link(c, node.forLonger() ? node : above);
            }
        }
    }

    private static long packed(int tenant, int kind, int front) {
        return (long) tenant << 40 | (long) kind << 20 | front;
    }

    // ---- the match

    /**
     * The route of a request, or null if none matches.
     *
     * @param tenant index in the list of tenants, likewise class and front; any other number is a name no route knows
     */
    public Route match(CharSequence key, int tenant, int kind, int front) {
        int t = tenants.at(tenant);
        int c = classes.at(kind);
        int f = fronts.at(front);
        Node n = root;
        int at = 0;
        int length = key.length();
        while (at < length) {
            Node child = n.child(key.charAt(at));
            if (child == null || !goesOn(key, at, child.label)) {
                break;
            }
            at += child.label.length();
            n = child;
        }
        if (at == length && n.exact != null) {
            Route r = find(n.exact, t, c, f);
            if (r != null) {
                return r;
            }
        }
        for (Node m = n.forLonger() ? n : n.above; m != null; m = m.above) {
            for (Pattern p : m.patterns) {
                if (holds(p.tenants(), t) && holds(p.classes(), c) && holds(p.fronts(), f)
                        && p.route().key().matches(key)) {
                    return p.route();
                }
            }
            Route r = m.prefix == null ? null : find(m.prefix, t, c, f);
            if (r != null) {
                return r;
            }
        }
        return null;
    }

    private static boolean goesOn(CharSequence key, int at, String label) {
        if (at + label.length() > key.length()) {
            return false;
        }
        for (int i = 1; i < label.length(); i++) {
            if (label.charAt(i) != key.charAt(at + i)) {
                return false;
            }
        }
        return true;
    }

    private static Route find(Bucket[] buckets, int t, int c, int f) {
        for (int mask = 7; mask >= 0; mask--) {
            Bucket b = buckets[mask];
            if (b != null) {
                Route r = b.get(packed((mask & 4) == 0 ? ANY : t, (mask & 2) == 0 ? ANY : c,
                        (mask & 1) == 0 ? ANY : f));
                if (r != null) {
                    return r;
                }
            }
        }
        return null;
    }

    private static boolean holds(int[] named, int number) {
        for (int n : named) {
            if (n == ANY || n == number) {
                return true;
            }
        }
        return false;
    }
}

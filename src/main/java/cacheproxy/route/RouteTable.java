package cacheproxy.route;

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
 * <p>The beginnings that routes name stand in one hash table, with a small one each for every set of conditions. A
 * key's beginnings of the lengths that there are are looked up while it is hashed from left to right; the longest found
 * knows the next shorter one. The time taken hangs on the key's length, not on the number of routes, and nothing is
 * allocated. Weighed and measured: a trie, which reads memory in three times as many places.
 */
public final class RouteTable {
    /** Routes that begin alike and go on by a pattern, which are tried one by one. */
    static final int MAX_PATTERNS = 2048;
    /** Triples of tenant, class and front that routes name, in all. */
    static final int MAX_TRIPLES = 2_000_000;

    private static final int ANY = 0;
    private static final long SEED = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final int FILTER_BITS = 16;

    private final List<Route> routes;
    private final Names tenants;
    private final Names classes;
    private final Names fronts;
    private final Map<String, Node> nodes = new HashMap<>();
    /** The lengths of beginnings that there are, from the shortest. */
    private final int[] lengths;
    /** The beginnings by their hashes, with open addressing. */
    private final long[] hashes;

    private final Node[] table;
    /** The beginnings' characters, each with a 0 behind it: one place in memory to compare with, not three. */
    private final char[] characters;
    /** A bit for each hash, sixteen times as many as there are: most beginnings that are none end here. */
    private final long[] filter;

    private int triples;

    /** Names of the table's own numbers; 0 stands for any and for names that no route knows. */
    private static final class Names {
        private final Map<String, Integer> numbers = new HashMap<>();

        Names(Collection<Set<String>> named) {
            named.forEach(set -> set.stream().sorted().forEach(n -> numbers.putIfAbsent(n, numbers.size() + 1)));
        }

        /** The numbers of these, in their order. */
        int[] byIndex(List<String> known) {
            return known.stream().mapToInt(n -> numbers.getOrDefault(n, ANY)).toArray();
        }

        int[] of(Set<String> names) {
            return names.isEmpty()
                    ? new int[] {ANY}
                    : names.stream().mapToInt(numbers::get).toArray();
        }
    }

    /** Finds routes for requests that name tenant, class and front by their index in lists of the installation. */
    public static final class Matcher {
        private final RouteTable table;
        private final int[] tenants;
        private final int[] classes;
        private final int[] fronts;

        private Matcher(RouteTable table, int[] tenants, int[] classes, int[] fronts) {
            this.table = table;
            this.tenants = tenants;
            this.classes = classes;
            this.fronts = fronts;
        }

        /**
         * The route of a request, or null if none matches.
         *
         * @param tenant index in the list of tenants, likewise class and front; any other number is a name no route
         *     knows
         */
        public Route match(CharSequence key, int tenant, int kind, int front) {
            return table.match(key, at(tenants, tenant), at(classes, kind), at(fronts, front));
        }

        private static int at(int[] numbers, int index) {
            return index >= 0 && index < numbers.length ? numbers[index] : ANY;
        }
    }

    /**
     * Routes by the conditions they set and what these name, with open addressing; most hold one route, which is kept
     * without a table.
     */
    private static class Bucket {
        private long firstKey;
        private Route first;
        private long[] keys;
        private Route[] routes;
        private int size;
        /** A bit for each set of conditions that there is. */
        private int masks;

        /** The route that stands there already, or null. */
        Route put(int mask, long names, Route route) {
            long key = key(mask, names);
            masks |= 1 << mask;
            if (size == 0) {
                size = 1;
                firstKey = key;
                first = route;
                return null;
            }
            if (routes == null) {
                grow(8);
            } else if (size * 2 >= keys.length) {
                grow(keys.length * 2);
            }
            int i = slot(key);
            if (routes[i] != null) {
                return routes[i];
            }
            size++;
            keys[i] = key;
            routes[i] = route;
            return null;
        }

        private void grow(int length) {
            long[] oldKeys = routes == null ? new long[] {firstKey} : keys;
            Route[] old = routes == null ? new Route[] {first} : routes;
            keys = new long[length];
            routes = new Route[length];
            for (int i = 0; i < old.length; i++) {
                if (old[i] != null) {
                    int to = slot(oldKeys[i]);
                    keys[to] = oldKeys[i];
                    routes[to] = old[i];
                }
            }
        }

        boolean empty() {
            return size == 0;
        }

        private static long key(int mask, long names) {
            return (long) mask << 60 | names;
        }

        /** The most specific of these. */
        Route get(int t, int c, int f) {
            for (int left = masks; left != 0; ) {
                int mask = 31 - Integer.numberOfLeadingZeros(left);
                left ^= 1 << mask;
                long key = key(
                        mask, packed((mask & 4) == 0 ? ANY : t, (mask & 2) == 0 ? ANY : c, (mask & 1) == 0 ? ANY : f));
                Route found = routes == null ? firstKey == key ? first : null : routes[slot(key)];
                if (found != null) {
                    return found;
                }
            }
            return null;
        }

        private int slot(long key) {
            int i = (int) ((key * 0x9e3779b97f4a7c15L) >>> 32) & keys.length - 1;
            while (routes[i] != null && keys[i] != key) {
                i = i + 1 & keys.length - 1;
            }
            return i;
        }
    }

    /** A route with a pattern, and its conditions in the table's numbers. */
    private record Pattern(Route route, int[] tenants, int[] classes, int[] fronts) {}

    /** The routes of one beginning: as a bucket those for all keys that begin so. */
    private static final class Node extends Bucket {
        final String beginning;
        final long hash;
        /** Where its characters stand among those of all. */
        int offset;
        /** The routes for this whole key. */
        Bucket exact;

        Pattern[] patterns = new Pattern[0];
        /** The next shorter beginning of this one that has routes for longer keys. */
        Node above;

        Node(String beginning, long hash) {
            this.beginning = beginning;
            this.hash = hash;
        }

        boolean forLonger() {
            return !empty() || patterns.length > 0;
        }
    }

    /**
     * Builds the table.
     *
     * @throws RouteConflictException if two routes are equally specific and one request could match both
     * @throws TooManyRoutesException if they name more than the table holds
     */
    public RouteTable(List<Route> routes) {
        this(routes, null);
    }

    private RouteTable(List<Route> routes, Set<RouteConflict> conflicts) {
        this.routes = List.copyOf(routes);
        tenants = new Names(routes.stream().map(Route::tenants).toList());
        classes = new Names(routes.stream().map(Route::classes).toList());
        fronts = new Names(routes.stream().map(Route::fronts).toList());
        Map<String, List<Route>> patterns = new HashMap<>();
        for (Route r : routes) {
            if (r.isPattern()) {
                patterns.computeIfAbsent(r.literalPrefix(), b -> new ArrayList<>())
                        .add(r);
            } else {
                add(r, conflicts);
            }
        }
        patterns.forEach((beginning, list) -> node(beginning).patterns = ordered(list, conflicts));
        lengths = nodes.keySet().stream()
                .mapToInt(String::length)
                .distinct()
                .sorted()
                .toArray();
        int capacity = Integer.highestOneBit(Math.max(8, nodes.size() * 4));
        hashes = new long[capacity];
        table = new Node[capacity];
        filter = new long[Math.max(1, capacity / 4 * FILTER_BITS / Long.SIZE)];
        characters =
                new char[nodes.keySet().stream().mapToInt(b -> b.length() + 1).sum()];
        int offset = 0;
        for (Node n : nodes.values()) {
            n.offset = offset;
            n.beginning.getChars(0, n.beginning.length(), characters, offset);
            offset += n.beginning.length() + 1;
            int i = start(n.hash);
            while (table[i] != null) {
                i = i + 1 & capacity - 1;
            }
            hashes[i] = n.hash;
            table[i] = n;
            int bit = bit(n.hash);
            filter[bit >>> 6] |= 1L << bit;
        }
        nodes.values().forEach(this::link);
    }

    /** The pairs of routes that no rule tells apart and that one request could match. */
    public static Set<RouteConflict> conflicts(List<Route> routes) {
        Set<RouteConflict> found = new LinkedHashSet<>();
        new RouteTable(routes, found);
        return found;
    }

    /** All of them. */
    public List<Route> routes() {
        return routes;
    }

    /** For requests that name tenant, class and front by their index in these lists. */
    public Matcher matcher(List<String> tenantNames, List<String> classNames, List<String> frontNames) {
        return new Matcher(this, tenants.byIndex(tenantNames), classes.byIndex(classNames), fronts.byIndex(frontNames));
    }

    // ---- the making

    private static void meet(Route a, Route b, Set<RouteConflict> conflicts) {
        if (conflicts == null) {
            throw new RouteConflictException("routes " + a.name() + " and " + b.name() + " are equally specific");
        }
        conflicts.add(new RouteConflict(a, b));
    }

    private void add(Route r, Set<RouteConflict> conflicts) {
        Node node = node(r.literalPrefix());
        if (r.isExact() && node.exact == null) {
            node.exact = new Bucket();
        }
        Bucket bucket = r.isExact() ? node.exact : node;
        for (int t : tenants.of(r.tenants())) {
            for (int c : classes.of(r.classes())) {
                for (int f : fronts.of(r.fronts())) {
                    if (++triples > MAX_TRIPLES) {
                        throw new TooManyRoutesException(
                                "routes name more than " + MAX_TRIPLES + " triples of tenant, class and front");
                    }
                    Route other = bucket.put(r.conditionMask(), packed(t, c, f), r);
                    if (other != null) {
                        meet(other, r, conflicts);
                    }
                }
            }
        }
    }

    private Pattern[] ordered(List<Route> list, Set<RouteConflict> conflicts) {
        if (list.size() > MAX_PATTERNS) {
            throw new TooManyRoutesException(
                    list.size() + " patterns begin with \"" + list.get(0).literalPrefix() + "\"; at most "
                            + MAX_PATTERNS + " may, as they are tried one by one");
        }
        list.sort(Comparator.comparingInt(Route::literalsAfterPrefix)
                .thenComparingInt(Route::conditionMask)
                .reversed());
        for (int i = 0; i < list.size(); i++) {
            Route a = list.get(i);
            for (int j = i + 1;
                    j < list.size()
                            && list.get(j).literalsAfterPrefix() == a.literalsAfterPrefix()
                            && list.get(j).conditionMask() == a.conditionMask();
                    j++) {
                Route b = list.get(j);
                if (meet(a.tenants(), b.tenants())
                        && meet(a.classes(), b.classes())
                        && meet(a.fronts(), b.fronts())
                        && a.key().overlaps(b.key())) {
                    meet(a, b, conflicts);
                }
            }
        }
        return list.stream()
                .map(r -> new Pattern(r, tenants.of(r.tenants()), classes.of(r.classes()), fronts.of(r.fronts())))
                .toArray(Pattern[]::new);
    }

    private static boolean meet(Set<String> a, Set<String> b) {
        return (a.isEmpty() && b.isEmpty()) || a.stream().anyMatch(b::contains);
    }

    private Node node(String beginning) {
        return nodes.computeIfAbsent(beginning, b -> new Node(b, hash(b)));
    }

    private void link(Node node) {
        for (int length : lengths) {
            if (length < node.beginning.length()) {
                Node shorter = nodes.get(node.beginning.substring(0, length));
                node.above = shorter != null && shorter.forLonger() ? shorter : node.above;
            }
        }
    }

    /** FNV-1a over characters; what it takes for the same is compared. */
    private static long hash(String text) {
        long h = SEED;
        for (int i = 0; i < text.length(); i++) {
            h = step(h, text.charAt(i));
        }
        return h;
    }

    private static long step(long hash, char next) {
        return (hash ^ next) * PRIME;
    }

    private int start(long hash) {
        return (int) ((hash * 0x9e3779b97f4a7c15L) >>> 40) & table.length - 1;
    }

    private int bit(long hash) {
        return (int) ((hash * 0xbf58476d1ce4e5b9L) >>> 32) & table.length / 4 * FILTER_BITS - 1;
    }

    private boolean begins(Node node, CharSequence key, int length) {
        int from = node.offset;
        for (int i = 0; i < length; i++) {
            if (characters[from + i] != key.charAt(i)) {
                return false;
            }
        }
        return characters[from + length] == 0;
    }

    private Node find(long hash, CharSequence key, int length) {
        int bit = bit(hash);
        if ((filter[bit >>> 6] >>> bit & 1) == 0) {
            return null;
        }
        // An empty place has the hash 0; one that is taken may, too.
        for (int i = start(hash); hashes[i] != 0 || table[i] != null; i = i + 1 & table.length - 1) {
            if (hashes[i] == hash && begins(table[i], key, length)) {
                return table[i];
            }
        }
        return null;
    }

    private static long packed(int tenant, int kind, int front) {
        return (long) tenant << 40 | (long) kind << 20 | front;
    }

    // ---- the match

    /** By the table's own numbers of tenant, class and front. */
    private Route match(CharSequence key, int t, int c, int f) {
        Node n = null;
        long hash = SEED;
        int at = 0;
        int found = 0;
        for (int length : lengths) {
            if (length > key.length()) {
                break;
            }
            while (at < length) {
                hash = step(hash, key.charAt(at++));
            }
            Node longer = find(hash, key, length);
            if (longer != null) {
                n = longer;
                found = length;
            }
        }
        if (n == null) {
            return null;
        }
        if (n.exact != null && found == key.length()) {
            Route r = n.exact.get(t, c, f);
            if (r != null) {
                return r;
            }
        }
        for (Node m = n.forLonger() ? n : n.above; m != null; m = m.above) {
            for (Pattern p : m.patterns) {
                if (holds(p.tenants(), t)
                        && holds(p.classes(), c)
                        && holds(p.fronts(), f)
                        && p.route().key().matches(key)) {
                    return p.route();
                }
            }
            Route r = m.get(t, c, f);
            if (r != null) {
                return r;
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

package cacheproxy.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Compares the table with a model that checks every route. */
class RouteTableTest {
    private static final List<String> TENANTS = List.of("t1", "t2", "t3");
    private static final List<String> CLASSES = List.of("c1", "c2");

    private static Route route(String name, String key, Set<String> tenants, Set<String> classes, Set<String> fronts) {
        return new Route(name, key == null ? null : new Glob(key), tenants, classes, fronts, "p", null, null);
    }

    private static RouteMatcher matcher(List<Route> routes) {
        return new RouteTable(routes).matcher(TENANTS, CLASSES, Routing.FRONTS);
    }

    private static Set<String> some(Random random, List<String> names) {
        List<String> some = new ArrayList<>(names);
        Collections.shuffle(some, random);
        return Set.copyOf(some.subList(0, Math.max(0, random.nextInt(4) - 1) % (names.size() + 1)));
    }

    private static String text(Random random, String letters, int most) {
        StringBuilder s = new StringBuilder();
        for (int i = random.nextInt(most + 1); i > 0; i--) {
            s.append(letters.charAt(random.nextInt(letters.length())));
        }
        return s.toString();
    }

    private static List<Route> routes(Random random, int count) {
        List<Route> routes = new ArrayList<>();
        while (routes.size() < count) {
            String key = switch (random.nextInt(4)) {
                case 0 -> null;
                case 1 -> text(random, "ab", 4);
                case 2 -> text(random, "ab", 4) + "*";
                default -> text(random, "ab*?", 6);
            };
            if (key == null || (!key.isEmpty() && !key.contains("**"))) {
                routes.add(route(
                        "r" + routes.size(),
                        key,
                        some(random, TENANTS),
                        some(random, CLASSES),
                        some(random, Routing.FRONTS)));
            }
        }
        return routes;
    }

    // ---- the model

    private static boolean matches(Route r, String key, int t, int c, int f) {
        return (r.key() == null || r.key().matches(key))
                && (r.tenants().isEmpty() || r.tenants().contains(TENANTS.get(t)))
                && (r.classes().isEmpty() || r.classes().contains(CLASSES.get(c)))
                && (r.fronts().isEmpty() || r.fronts().contains(Routing.FRONTS.get(f)));
    }

    /** The documented order as a number: exact key, literal prefix, literals after it, conditions. */
    private static long rank(Route r) {
        long further = r.key() == null || r.key().isExact() || r.key().isPrefix()
                ? 0
                : 1 + r.key().literalsAfterPrefix();
        return ((r.key() != null && r.key().isExact() ? 1 : 0) * 1000L
                                + (r.key() == null ? 0 : r.key().literalPrefix().length()))
                        * 1_000_000
                + further * 1000
                + (r.tenants().isEmpty() ? 0 : 4)
                + (r.classes().isEmpty() ? 0 : 2)
                + (r.fronts().isEmpty() ? 0 : 1);
    }

    private static void drop(List<Route> routes) {
        Set<RouteConflict> conflicts = RouteTable.conflicts(routes);
        while (!conflicts.isEmpty()) {
            conflicts.forEach(c -> routes.remove(c.second()));
            conflicts = RouteTable.conflicts(routes);
        }
    }

    @Property(tries = 400, seed = "61")
    void findsTheMostSpecificWhateverTheOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<Route> routes = routes(random, 1 + random.nextInt(40));
        drop(routes);
        RouteMatcher table = matcher(routes);
        List<Route> shuffled = new ArrayList<>(routes);
        Collections.shuffle(shuffled, random);
        RouteMatcher other = matcher(shuffled);
        for (int i = 0; i < 60; i++) {
            String key = text(random, "ab", 6);
            int t = random.nextInt(TENANTS.size());
            int c = random.nextInt(CLASSES.size());
            int f = random.nextInt(Routing.FRONTS.size());
            List<Route> found =
                    routes.stream().filter(r -> matches(r, key, t, c, f)).toList();
            long best = found.stream().mapToLong(RouteTableTest::rank).max().orElse(-1);
            List<Route> most = found.stream().filter(r -> rank(r) == best).toList();
            Route expected = most.isEmpty() ? null : most.get(0);
            assertThat(most).as("one route is the most specific").hasSizeLessThanOrEqualTo(1);
            assertThat(table.match(key, t, c, f)).as(key).isSameAs(expected);
            assertThat(other.match(key, t, c, f)).isSameAs(expected);
        }
    }

    /** Guards against missed conflicts: two routes of equal rank that match the same request must be reported. */
    @Property(tries = 400, seed = "62")
    @SuppressWarnings("ReferenceEquality") // two list entries, even if they are equal
    void findsEveryConflictThatARequestCanShow(@ForAll long seed) {
        Random random = new Random(seed);
        List<Route> routes = routes(random, 2 + random.nextInt(12));
        Set<RouteConflict> conflicts = RouteTable.conflicts(routes);
        Set<Route> involved = new HashSet<>();
        conflicts.forEach(c -> {
            assertThat(rank(c.first())).isEqualTo(rank(c.second()));
            involved.add(c.first());
            involved.add(c.second());
        });
        for (int i = 0; i < 200; i++) {
            String key = text(random, "ab", 6);
            int t = random.nextInt(TENANTS.size());
            int c = random.nextInt(CLASSES.size());
            int f = random.nextInt(Routing.FRONTS.size());
            for (Route a : routes) {
                for (Route b : routes) {
                    if (a != b && rank(a) == rank(b) && matches(a, key, t, c, f) && matches(b, key, t, c, f)) {
                        assertThat(involved).contains(a, b);
                    }
                }
            }
        }
    }

    @Test
    void anExactKeyIsMoreSpecificThanAPrefix() {
        RouteMatcher table = matcher(List.of(
                route("exact", "abc", Set.of(), Set.of(), Set.of()),
                route("prefix", "abc*", Set.of("t1"), Set.of(), Set.of()),
                route("short", "a*", Set.of(), Set.of(), Set.of()),
                route("pattern", "abc*z", Set.of(), Set.of(), Set.of())));
        assertThat(table.match("abc", 0, 0, 0).name()).isEqualTo("exact");
        assertThat(table.match("abcd", 0, 0, 0).name()).isEqualTo("prefix");
        assertThat(table.match("abcz", 0, 0, 0).name()).isEqualTo("pattern");
        assertThat(table.match("abcd", 1, 0, 0).name()).isEqualTo("short");
        assertThat(table.match("abcd", -1, -1, -1).name()).isEqualTo("short");
        assertThat(table.match("b", 0, 0, 0)).isNull();
        assertThat(table.match("", 0, 0, 0)).isNull();
    }

    @Test
    void aMatchAllocatesNothing() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            routes.add(route(
                    "r" + i,
                    "team" + i % 7 + "/" + i + (i % 3 == 0 ? "" : i % 3 == 1 ? "/*" : "/*/v?"),
                    Set.of(),
                    i % 2 == 0 ? Set.of("c1") : Set.of(),
                    Set.of()));
        }
        RouteMatcher table = matcher(routes);
        String[] keys = {"team3/3", "team4/4/x", "team5/5/x/v1", "none"};
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long least = Long.MAX_VALUE;
        int found = 0;
        for (int round = 0; round < 5; round++) { // the first round loads classes
            long before = threads.getCurrentThreadAllocatedBytes();
            for (int i = 0; i < 10_000; i++) {
                found += table.match(keys[i & 3], 0, 0, 0) == null ? 0 : 1;
            }
            least = Math.min(least, threads.getCurrentThreadAllocatedBytes() - before);
        }
        assertThat(found).isEqualTo(5 * 7500);
        assertThat(least).isLessThan(10_000); // reading the counter may itself allocate
    }

    @Test
    void twoEquallySpecificRoutesAreRejected() {
        List<Route> routes = List.of(
                route("a", "x*", Set.of("t1", "t2"), Set.of(), Set.of()),
                route("b", "x*", Set.of("t2", "t3"), Set.of(), Set.of()));
        assertThatThrownBy(() -> new RouteTable(routes)).hasMessageContaining("equally specific");
        assertThat(RouteTable.conflicts(routes)).hasSize(1);
    }

    @Test
    void patternsWithTheSamePrefixAreBounded() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i <= RouteTable.MAX_PATTERNS; i++) {
            routes.add(route("r" + i, "x*" + (char) ('A' + i) + "y", Set.of(), Set.of(), Set.of()));
        }
        assertThatThrownBy(() -> RouteTable.conflicts(routes))
                .hasMessageContaining((RouteTable.MAX_PATTERNS + 1) + " patterns begin with \"x\"");
    }

    /** 1024 tenants have a pattern each, all with the same literal prefix. */
    @Test
    void eachOf1024TenantsMayHaveAPatternOfItsOwn() {
        List<String> tenants = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            tenants.add("t" + i);
            routes.add(route("r" + i, "x*y", Set.of("t" + i), Set.of(), Set.of()));
        }
        RouteMatcher matcher = new RouteTable(routes).matcher(tenants, CLASSES, Routing.FRONTS);
        assertThat(matcher.match("x7y", 1023, 0, 0).name()).isEqualTo("r1023");
        assertThat(matcher.match("x7y", 0, 0, 0).name()).isEqualTo("r0");
    }
}

package cacheproxy;

import cacheproxy.route.Glob;
import cacheproxy.route.Route;
import cacheproxy.route.RouteMatcher;
import cacheproxy.route.RouteTable;
import cacheproxy.route.Routing;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The cost of finding a request's route, with the mixture of keys, prefixes, patterns and classes of bench/many-routes.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgs = {"-XX:+UseSerialGC", "-Xmx512m"})
@State(Scope.Thread)
public class RouteMatchBenchmark {
    private static final int KEYS = 1 << 12;
    private static final List<String> CLASSES = List.of("seg-text", "seg-image", "fix-submit", "track-publish");

    /** Routes in the table. */
    @Param({"10", "1000", "10000"})
    public int routes;

    private final String[] keys = new String[KEYS];
    private RouteMatcher matcher;
    private int next;

    /** Builds the table, and the keys, one in ten of which has no route. */
    @Setup
    public void build() {
        List<Route> all = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            String key = "team" + i % 97 + "/" + i + (i % 4 == 0 ? "" : i % 4 == 3 ? "/*/v?" : "/*");
            all.add(new Route(
                    "r" + i,
                    new Glob(key),
                    Set.of(),
                    i % 4 == 2 ? Set.of("seg-text", "seg-image") : Set.of(),
                    Set.of(),
                    "p",
                    null,
                    null));
        }
        matcher = new RouteTable(all).matcher(List.of(), CLASSES, Routing.FRONTS);
        SplittableRandom random = new SplittableRandom(1);
        for (int k = 0; k < KEYS; k++) {
            int i = random.nextInt(routes);
            keys[k] = k % 10 == 0 ? "none/" + i : "team" + i % 97 + "/" + i + (i % 4 == 0 ? "" : "/7f3a9c21/v1");
        }
    }

    /** One match. */
    @Benchmark
    public Route match() {
        int k = next++ & KEYS - 1;
        return matcher.match(keys[k], -1, k & 3, Routing.META_FRONT);
    }
}

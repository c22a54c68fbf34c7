package cacheproxy.quota;

import java.util.ArrayList;
import java.util.List;
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

/** One admission at depth 3 and its settling: one quota at each of four levels. Half of the requests are rejected. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgs = {"-XX:+UseSerialGC", "-Xmx2g"})
@State(Scope.Thread)
public class QuotaBenchmark {
    /** Device classes, in all. */
    @Param({"10", "1000", "100000"})
    public int nodes;

    private final SplittableRandom random = new SplittableRandom(1);
    private final QuotaCharge charge = new QuotaCharge();
    private final String[][] paths = new String[1024][];
    private QuotaTree tree;
    private double now = 1e12;
    private int next;

    /** Three organisations of two apps each, with the device classes spread evenly over the apps. */
    @Setup
    public void build() {
        int devicesPerApp = Math.max(1, nodes / 6);
        List<QuotaSpec> orgs = new ArrayList<>();
        for (int o = 0; o < 3; o++) {
            List<QuotaSpec> apps = new ArrayList<>();
            for (int a = 0; a < 2; a++) {
                List<QuotaSpec> devices = new ArrayList<>();
                for (int d = 0; d < devicesPerApp; d++) {
                    devices.add(new QuotaSpec("device-" + d, 1, List.of(limit(0, 400)), List.of()));
                }
                apps.add(new QuotaSpec("app-" + a, 1, List.of(limit(100, 500)), devices));
            }
            orgs.add(new QuotaSpec("org-" + o, 1, List.of(limit(300, 800)), apps));
        }
        tree = new QuotaTree(new QuotaSpec("all", 1, List.of(limit(0, 1000)), orgs), 1, 1);
        for (int i = 0; i < paths.length; i++) {
            paths[i] = new String[] {
                "org-" + random.nextInt(3), "app-" + random.nextInt(2), "device-" + random.nextInt(devicesPerApp)
            };
        }
    }

    private static Limit limit(long guarantee, long cap) {
        return new Limit(Measure.REQUESTS, 1000, guarantee, cap);
    }

    /** A demand of 2,000 requests per second with a cap of 1,000. */
    @Benchmark
    public double admitAndSettle() {
        now += 0.5;
        double wait = tree.admit(now, paths[next++ & 1023], 400, false, charge);
        if (wait == 0) {
            tree.settle(now, charge, 380);
        }
        return wait;
    }
}

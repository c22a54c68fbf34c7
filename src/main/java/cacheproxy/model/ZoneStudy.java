package cacheproxy.model;

import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Measures how soon a fleet leaves a zone whose nodes die and returns to it, over many seeds in virtual time.
 *
 * @param firstMs time until the first instance has left the zone, sorted
 * @param allMs time from then until all have, sorted
 * @param trials attempts per second of the whole fleet at the zone while it is left, sorted
 * @param wholeMs time from the zone's cold return until it is fully open to all instances, sorted
 * @param apartMs the longest time that instances differed by more than a step, sorted
 * @param mostBytes bytes per second of the instance that sent most, over the whole run, sorted
 */
public record ZoneStudy(
        double[] firstMs, double[] allMs, double[] trials, double[] wholeMs, double[] apartMs, double[] mostBytes) {
    private static final double STEP = 1.0 / 15 + 1e-6;
    private static final double LEFT_MS = 10_000;
    private static final double LIMIT_MS = 60_000;
    private static final double RATE = 20;

    /** Measures how long the running instances differed. */
    private static final class Apart implements ZonePlay.Watcher {
        private double sinceMs = Double.NaN;
        private double worstMs;

        @Override
        public void looked(double nowMs, double[][] open) {
            boolean apart = false;
            for (int z = 0; z < ZonePlay.ZONES && !apart; z++) {
                double least = 1;
                double most = 0;
                for (double[] o : open) {
                    if (o != null) {
                        least = Math.min(least, o[z]);
                        most = Math.max(most, o[z]);
                    }
                }
                apart = most - least > STEP;
            }
            sinceMs = !apart ? Double.NaN : Double.isNaN(sinceMs) ? nowMs : sinceMs;
            worstMs = apart ? Math.max(worstMs, nowMs - sinceMs) : worstMs;
        }
    }

    /** Runs {@code seeds} consecutive seeds from {@code seed}, with twice as many nodes as instances. */
    public static ZoneStudy of(int many, long seed, int seeds) {
        List<double[]> all = IntStream.range(0, seeds)
                .parallel()
                .mapToObj(i -> play(many, seed + i))
                .toList();
        return new ZoneStudy(
                column(all, 0), column(all, 1), column(all, 2), column(all, 3), column(all, 4), column(all, 5));
    }

    private static double[] play(int many, long seed) {
        ZonePlay p = new ZonePlay(many, Math.max(ZonePlay.ZONES, 2 * many), RATE, seed);
        Apart apart = new Apart();
        p.watch(apart);
        double began = p.now();
        double bytes = p.mostBytes();
        p.nodesDie(0);
        double first = until(p, () -> p.any(0, 0));
        double rest = until(p, () -> p.all(h -> true, 0, 0));
        double sent = p.sent(0);
        p.pass(LEFT_MS);
        double trials = (p.sent(0) - sent) * 1000 / LEFT_MS;
        p.nodesReturn(0, true);
        double whole = until(p, () -> p.all(h -> true, 0, 1));
        return new double[] {
            first, rest, trials, whole, apart.worstMs, (p.mostBytes() - bytes) * 1000 / (p.now() - began)
        };
    }

    private static double until(ZonePlay p, BooleanSupplier what) {
        double began = p.now();
        while (!what.getAsBoolean() && p.now() - began < LIMIT_MS) {
            p.pass(50);
        }
        return p.now() - began;
    }

    private static double[] column(List<double[]> rows, int at) {
        return rows.stream().mapToDouble(r -> r[at]).sorted().toArray();
    }

    /** A text table: median, 99th percentile and worst. */
    public String text() {
        return String.format(Locale.ROOT, "%-44s%10s%10s%10s%n", "", "median", "p99", "worst")
                + row("first instance has left it, s", firstMs, 1000)
                + row("all have, s later", allMs, 1000)
                + row("trials of the whole fleet, a second", trials, 1)
                + row("whole again after a cold return, s", wholeMs, 1000)
                + row("differed by more than a step, s", apartMs, 1000)
                + row("bytes a second of the one that sent most", mostBytes, 1);
    }

    private static String row(String name, double[] sorted, double by) {
        int n = sorted.length;
        double[] shown = {sorted[n / 2], sorted[Math.min(n - 1, (int) (n * 0.99))], sorted[n - 1]};
        return String.format(
                Locale.ROOT, "%-44s%10.2f%10.2f%10.2f%n", name, shown[0] / by, shown[1] / by, shown[2] / by);
    }
}

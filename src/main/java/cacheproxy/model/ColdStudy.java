package cacheproxy.model;

import cacheproxy.model.ColdLoad.Window;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.stream.LongStream;

/**
 * The load that all instances together put on nodes that start cold, over many seeds: for each node, its fullest window
 * as a ratio to the load at which it fails.
 *
 * @param what the conditions that coincided with the starts
 * @param instances number of sending instances
 * @param loads one entry for each node that started, over all runs
 */
public record ColdStudy(ColdCase what, int instances, List<ColdLoad> loads) {
    /** Runs {@code seeds} consecutive seeds from {@code seed} in parallel. */
    public static ColdStudy of(ColdCase what, int instances, int nodes, long seed, int seeds) {
        List<ColdLoad> loads = LongStream.range(seed, seed + seeds)
                .parallel()
                .mapToObj(s -> what.play(instances, nodes, s).run().coldLoads())
                .flatMap(List::stream)
                .toList();
        return new ColdStudy(what, instances, loads);
    }

    /** The share of nodes that were sent more than their limit. */
    public double over(ColdRamp ramp) {
        return share(l -> l.fullest(ramp).part() > 1);
    }

    /** The share over their limit in a window of which over two thirds came from instances told of the start. */
    public double overByTold(ColdRamp ramp) {
        return share(l -> l.fullestTold(ramp).part() > 1);
    }

    /** The share whose first failure breaks the rule: over two thirds of that window came from instances told. */
    public double broken(ColdRamp ramp) {
        return share(l -> l.breaksRule(ramp));
    }

    private double share(Predicate<ColdLoad> what) {
        return loads.isEmpty() ? 0 : (double) loads.stream().filter(what).count() / loads.size();
    }

    /** Column headings of {@link #text}. */
    public static String head() {
        return String.format(
                "%-9s%6s%7s %-7s%7s%7s%7s%9s%7s%9s%9s%9s%9s%7s%8s%8s%n",
                "case", "inst.", "nodes", "ramp", "median", "p99", "max", "over", "told", "over", "broken", "further",
                "repeats", "key", "sender", "age ms");
    }

    /**
     * A line for each ramp. First median, 99th percentile and maximum of the nodes' fullest windows, and the share of
     * nodes over the limit. Then, for windows sent mostly by instances told of the start: the maximum, the share of
     * nodes over the limit, the share whose failure breaks the rule, and what the fullest window consisted of.
     */
    public String text() {
        StringBuilder s = new StringBuilder();
        for (ColdRamp ramp : ColdRamp.values()) {
            double[] parts = loads.stream()
                    .mapToDouble(l -> l.fullest(ramp).part())
                    .sorted()
                    .toArray();
            Window w = loads.stream()
                    .map(l -> l.fullestTold(ramp))
                    .max(Comparator.comparingDouble(Window::part))
                    .orElse(Window.EMPTY);
            s.append(String.format(
                    Locale.ROOT,
                    "%-9s%6d%7d %-7s%7.2f%7.2f%7.2f%8.2f%%%7.2f%8.2f%%%8.2f%%%9.2f%9.2f%7.2f%8.2f%8.0f%n",
                    what.name().toLowerCase(Locale.ROOT),
                    instances,
                    loads.size(),
                    ramp.name().toLowerCase(Locale.ROOT),
                    at(parts, 0.5),
                    at(parts, 0.99),
                    at(parts, 1),
                    100 * over(ramp),
                    w.part(),
                    100 * overByTold(ramp),
                    100 * broken(ramp),
                    w.further(),
                    w.repeats(),
                    w.topKey(),
                    w.topSender(),
                    w.ageMs()));
        }
        return s.toString();
    }

    private static double at(double[] sorted, double part) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, part * sorted.length)];
    }
}

package cacheproxy.model;

import cacheproxy.model.ColdLoad.Window;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.stream.LongStream;

/**
 * What all instances send to nodes that start cold, over many seeds: the fullest window of each node as a part of what
 * makes it fall.
 *
 * @param what what came together with the starts
 * @param instances that sent
 * @param loads of each node that started, in all plays
 */
public record ColdStudy(ColdCase what, int instances, List<ColdLoad> loads) {
    /** Plays that many seeds from one on, side by side. */
    public static ColdStudy of(ColdCase what, int instances, int nodes, long seed, int seeds) {
        List<ColdLoad> loads = LongStream.range(seed, seed + seeds)
                .parallel()
                .mapToObj(s -> what.play(instances, nodes, s).run().coldLoads())
                .flatMap(List::stream)
                .toList();
        return new ColdStudy(what, instances, loads);
    }

    /** The part of the nodes that were sent more than they stand. */
    public double over(ColdRamp ramp) {
        return share(l -> l.fullest(ramp).part() > 1);
    }

    /** The part that were in any window of which over two thirds came from instances told of the start. */
    public double overByTold(ColdRamp ramp) {
        return share(l -> l.fullestTold(ramp).part() > 1);
    }

    /** The part whose first fall breaks the rule: over two thirds of that window came from these. */
    public double broken(ColdRamp ramp) {
        return share(l -> l.breaksRule(ramp));
    }

    private double share(Predicate<ColdLoad> what) {
        return loads.isEmpty() ? 0 : (double) loads.stream().filter(what).count() / loads.size();
    }

    /** What the columns of {@link #text} are. */
    public static String head() {
        return String.format(
                "%-9s%6s%7s %-7s%7s%7s%7s%9s%7s%9s%9s%9s%9s%7s%8s%8s%n",
                "case", "inst.", "nodes", "ramp", "median", "p99", "max", "over", "told", "over", "broken", "further",
                "repeats", "key", "sender", "age ms");
    }

    /**
     * A line for each ramp: of all windows median, 99th percentile and most, and how many nodes are over; of those that
     * were filled by instances that had been told the most, how many are over, how many falls break the rule, and who
     * filled the fullest.
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

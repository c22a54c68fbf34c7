package cacheproxy.lab;

import cacheproxy.emulator.Layout;
import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * An expectation about how the proxies fail over from zones and return to them. The proxies' views are sampled four
 * times a second, and only proxies that hear from most of the fleet count.
 */
public sealed interface ZoneExpectation extends Expectation {
    /** Allowance for the sampling interval; the proxies are sampled one after another. */
    double LOOK_MS = 300;
    /** One step (1/15) of a zone's open share, with an allowance for rounding. */
    double STEP = 1.0 / 15 + 0.01;

    /** These checks don't depend on request latency, but a pause of the machine may delay a sample. */
    @Override
    default boolean mayBeCausedByLab(Outcome o) {
        return o.busy() != null;
    }

    private static String seconds(double ms) {
        return ms == Double.POSITIVE_INFINITY ? "never" : String.format(Locale.ROOT, "%.1f s", ms / 1000);
    }

    private static double first(Outcome o, boolean begin) {
        return begin
                ? o.scenario().bands().stream()
                        .mapToDouble(Scenario.Band::fromMs)
                        .min()
                        .orElse(0)
                : o.scenario().bands().stream()
                        .mapToDouble(Scenario.Band::toMs)
                        .max()
                        .orElse(0);
    }

    /** When a zone was first left by any proxy and by all, in ms from the first fault's begin; infinite if never. */
    private static double[] left(Outcome o, int zone) {
        double[] left = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
        double begin = first(o, true);
        for (Outcome.Look l : o.looks()) {
            List<List<Double>> there =
                    l.open().stream().filter(s -> !s.isEmpty()).toList();
            if (l.atMs() < begin || there.isEmpty()) {
                continue;
            }
            if (there.stream().anyMatch(s -> s.get(zone) == 0)) {
                left[0] = Math.min(left[0], l.atMs() - begin);
            }
            if (there.stream().allMatch(s -> s.get(zone) == 0)) {
                left[1] = Math.min(left[1], l.atMs() - begin);
            }
        }
        return left;
    }

    private static int zones(Outcome o) {
        return o.scenario().fleet().layout().zones().size();
    }

    /**
     * All proxies that hear from most of the fleet have to leave a zone within this time of the first fault's begin.
     */
    record LeftWithin(double ms) implements ZoneExpectation {
        @Override
        public Result check(Outcome o) {
            double[] best = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
            for (int z = 0; z < zones(o); z++) {
                double[] left = left(o, z);
                best = left[1] < best[1] ? left : best;
            }
            return new Result(
                    "left",
                    best[1] <= ms + LOOK_MS,
                    "first after " + seconds(best[0]) + ", all after " + seconds(best[1]),
                    "within " + seconds(ms));
        }
    }

    /** The open shares of a zone may not differ between proxies by more than a step for longer than this. */
    record TogetherWithin(double ms) implements ZoneExpectation {
        @Override
        public Result check(Outcome o) {
            double worst = 0;
            double since = Double.NaN;
            for (Outcome.Look l : o.looks()) {
                boolean apart = apart(l);
                since = !apart ? Double.NaN : Double.isNaN(since) ? l.atMs() : since;
                worst = apart ? Math.max(worst, l.atMs() - since) : worst;
            }
            return new Result(
                    "together", worst <= ms, "apart for " + seconds(worst) + " at most", "at most " + seconds(ms));
        }

        private static boolean apart(Outcome.Look l) {
            List<List<Double>> there =
                    l.open().stream().filter(s -> !s.isEmpty()).toList();
            for (int z = 0; !there.isEmpty() && z < there.get(0).size(); z++) {
                int zone = z;
                double least =
                        there.stream().mapToDouble(s -> s.get(zone)).min().orElse(0);
                double most = there.stream().mapToDouble(s -> s.get(zone)).max().orElse(0);
                if (most - least > STEP) {
                    return true;
                }
            }
            return false;
        }
    }

    /**
     * All zones have to be fully open at all proxies within this time of the last fault's end, and stay so. A proxy
     * that is missing in a sample, as a busy one may be, keeps its previous state for up to {@link #SILENT_MS}; after
     * that it counts as not open.
     */
    record WholeWithin(double ms) implements ZoneExpectation {
        private static final double SILENT_MS = 1500;

        @Override
        public Result check(Outcome o) {
            double end = first(o, false);
            double since = Double.POSITIVE_INFINITY;
            double[] wholeMs = new double[o.scenario().fleet().proxies()];
            Arrays.fill(wholeMs, Double.NEGATIVE_INFINITY);
            for (Outcome.Look l : o.looks()) {
                for (int p = 0; p < l.open().size(); p++) {
                    List<Double> open = l.open().get(p);
                    boolean there = !open.isEmpty();
                    wholeMs[p] = there && open.stream().allMatch(x -> x == 1)
                            ? l.atMs()
                            : there ? Double.NEGATIVE_INFINITY : wholeMs[p];
                }
                if (l.atMs() >= end) {
                    boolean whole = Arrays.stream(wholeMs).allMatch(at -> l.atMs() - at <= SILENT_MS);
                    since = !whole ? Double.POSITIVE_INFINITY : Math.min(since, l.atMs() - end);
                }
            }
            return new Result("whole", since <= ms + LOOK_MS, "after " + seconds(since), "within " + seconds(ms));
        }
    }

    /** Maximum number of times that a zone is left by all proxies. */
    record LeavesAtMost(long most) implements ZoneExpectation {
        @Override
        public Result check(Outcome o) {
            long n = 0;
            for (int z = 0; z < zones(o); z++) {
                boolean left = false;
                for (Outcome.Look l : o.looks()) {
                    List<List<Double>> there =
                            l.open().stream().filter(s -> !s.isEmpty()).toList();
                    int zone = z;
                    boolean now = !there.isEmpty() && there.stream().allMatch(s -> s.get(zone) == 0);
                    n += now && !left ? 1 : 0;
                    left = now || (left && there.isEmpty());
                }
            }
            return new Result("leaves", n <= most, String.valueOf(n), "at most " + most);
        }
    }

    /** Maximum mean rate of attempts that proxies of other zones send to a zone while it is left. */
    record LeftAttemptsAtMost(double most) implements ZoneExpectation {
        @Override
        public Result check(Outcome o) {
            Layout layout = o.scenario().fleet().layout();
            double seconds = 0;
            double attempts = 0;
            for (int z = 0; z < zones(o); z++) {
                double[] left = left(o, z);
                double begin = first(o, true);
                double end = o.scenario().bands().stream()
                        .filter(b -> b.fromMs() == begin)
                        .mapToDouble(Scenario.Band::toMs)
                        .max()
                        .orElse(begin);
                int zone = z;
                int from = (int) Math.ceil((begin + left[1]) / 1000);
                int to = (int) (end / 1000);
                if (left[1] < Double.POSITIVE_INFINITY && from < to) {
                    seconds += to - from;
                    attempts += o.rows().stream()
                            .filter(r -> r.second() >= from
                                    && r.second() < to
                                    && r.proxy() >= 0
                                    && layout.zoneOf(r.proxy()) != zone)
                            .mapToLong(r -> r.attempts()[zone])
                            .sum();
                }
            }
            double rate = seconds == 0 ? Double.NaN : attempts / seconds;
            return new Result(
                    "trials",
                    rate <= most,
                    seconds == 0 ? "no zone was left for a second" : String.format(Locale.ROOT, "%.1f/s", rate),
                    String.format(Locale.ROOT, "at most %.1f/s", most));
        }
    }

    /** Maximum ratio of the fetches in any 2 s after the last fault to their mean in up to 10 s before the first. */
    record FetchesAtMost(double factor) implements ZoneExpectation {
        private static final int SPAN = 2;

        @Override
        public Result check(Outcome o) {
            int begin = (int) (first(o, true) / 1000);
            int end = (int) Math.ceil(first(o, false) / 1000);
            int last = (int) (o.scenario().forMs() / 1000);
            double usual = fetches(o, Math.max(0, begin - 10), begin) / Math.max(1, Math.min(10, begin)) * SPAN;
            double worst = 0;
            for (int s = end; s + SPAN <= last; s += SPAN) {
                worst = Math.max(worst, fetches(o, s, s + SPAN) / Math.max(1, usual));
            }
            return new Result(
                    "fetches",
                    worst <= factor,
                    String.format(Locale.ROOT, "%.2f times in the worst 2 s", worst),
                    String.format(Locale.ROOT, "at most %.2f times", factor));
        }

        private static double fetches(Outcome o, int from, int to) {
            return o.rows().stream()
                    .filter(r -> r.second() >= from && r.second() < to)
                    .mapToLong((Series.Row r) -> r.counts().getOrDefault(What.FETCHES, 0L))
                    .sum();
        }
    }
}

package cacheproxy.lab;

import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** An expectation about how the fleet recovers after many proxies have failed at once. */
public sealed interface RecoveryExpectation extends Expectation {
    /** A pause of the lab's own process delays the counts. */
    @Override
    default boolean mayBeCausedByLab(Outcome o) {
        return o.busy() != null;
    }

    /** Begin of the first fault, in ms; {@link #end} is the end of the last one. */
    private static double begin(Outcome o) {
        return o.scenario().bands().stream()
                .mapToDouble(Scenario.Band::fromMs)
                .min()
                .orElse(0);
    }

    private static double end(Outcome o) {
        return o.scenario().bands().stream()
                .mapToDouble(Scenario.Band::toMs)
                .max()
                .orElse(0);
    }

    /**
     * The fleet has to be back at full service within this time of the first fault. That is the start of the first 3 s
     * in which the served share of requests is at least 98% of its value in the 10 s before the first fault, with
     * attempts and fetches per request at most 1.2 times their values then. As fetches are rare, their limit is raised
     * by twice the square root of the expected number, to allow for random variation.
     */
    record FullServiceWithin(double ms) implements RecoveryExpectation {
        private static final double BEFORE_MS = 10_000;
        private static final double SPAN_MS = 3000;
        private static final double STEP_MS = 100;
        private static final double SERVED = 0.98;
        private static final double WORK = 1.2;

        /** Milliseconds from the first fault until full service; infinite if it is not reached. */
        static double measure(Outcome o) {
            double from = begin(o);
            double asked = Math.max(1, o.sum(What.ASKED, from - BEFORE_MS, from));
            double served = o.sum(What.SERVED, from - BEFORE_MS, from) / asked;
            double attempts = o.sum(What.ATTEMPTS, from - BEFORE_MS, from) / asked;
            double fetches = o.sum(What.FETCHES, from - BEFORE_MS, from) / asked;
            // Windows start at the first fault or later, as requests lost in it were counted as asked before it.
            for (double t = from; t + SPAN_MS <= o.scenario().forMs(); t += STEP_MS) {
                double wanted = Math.max(1, o.sum(What.ASKED, t, t + SPAN_MS));
                double mean = fetches * wanted;
                if (o.sum(What.SERVED, t, t + SPAN_MS) >= SERVED * served * wanted
                        && o.sum(What.ATTEMPTS, t, t + SPAN_MS) <= WORK * attempts * wanted
                        && o.sum(What.FETCHES, t, t + SPAN_MS) <= WORK * mean + 2 * Math.sqrt(mean)) {
                    return t - from;
                }
            }
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public Result check(Outcome o) {
            double after = measure(o);
            return new Result(
                    "back",
                    after <= ms,
                    after == Double.POSITIVE_INFINITY
                            ? "never"
                            : String.format(Locale.ROOT, "after %.1f s", after / 1000),
                    String.format(Locale.ROOT, "within %.1f s", ms / 1000));
        }
    }

    /** Maximum of a count in any one second after the first fault's begin, over all proxies. */
    record AtMost(What what, long most) implements RecoveryExpectation {
        private static final double SPAN_MS = 1000;
        private static final double STEP_MS = 100;

        @Override
        public Result check(Outcome o) {
            double worst = 0;
            for (double t = begin(o); t + SPAN_MS <= o.scenario().forMs(); t += STEP_MS) {
                worst = Math.max(worst, o.sum(what, t, t + SPAN_MS));
            }
            return new Result(
                    what.name().toLowerCase(Locale.ROOT),
                    worst <= most,
                    String.format(Locale.ROOT, "%.0f in the worst second", worst),
                    "at most " + most);
        }
    }

    /**
     * Maximum ratio of the busiest proxy's requests to the mean, from {@link #SETTLE_MS} after the last fault's end.
     */
    record BusiestAtMost(double factor) implements RecoveryExpectation {
        private static final double SETTLE_MS = 10_000;

        @Override
        public Result check(Outcome o) {
            int from = (int) Math.ceil((end(o) + SETTLE_MS) / 1000);
            Map<Integer, Long> asked = new HashMap<>();
            for (Series.Row r : o.rows()) {
                if (r.second() >= from && r.proxy() >= 0) {
                    asked.merge(r.proxy(), r.counts().getOrDefault(What.ASKED, 0L), Long::sum);
                }
            }
            long all = asked.values().stream().mapToLong(Long::longValue).sum();
            long most = asked.values().stream().mapToLong(Long::longValue).max().orElse(0);
            double times =
                    all == 0 ? Double.NaN : (double) most * o.scenario().fleet().proxies() / all;
            return new Result(
                    "busiest",
                    times <= factor,
                    all == 0 ? "nothing was asked so late" : String.format(Locale.ROOT, "%.2f times the mean", times),
                    String.format(Locale.ROOT, "at most %.2f times", factor));
        }
    }

    /** Maximum number of decisions that proxies base on state older than its maximum age. */
    record StaleDecisions(long most) implements RecoveryExpectation {
        @Override
        public Result check(Outcome o) {
            long n = o.looks().stream()
                    .mapToLong(Outcome.Look::staleDecisions)
                    .max()
                    .orElse(0);
            return new Result("stale", n <= most, n + " decisions", "at most " + most);
        }

        @Override
        public boolean mayBeCausedByLab(Outcome o) {
            return false;
        }
    }
}

package cacheproxy.lab;

import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Something that is expected of how a fleet comes back after many of its proxies have gone at once. */
public sealed interface RecoveryExpectation extends Expectation {
    /** A pause of the lab's own process makes counts come late. */
    @Override
    default boolean mayBeTheLabs(Outcome o) {
        return o.busy() != null;
    }

    /** When the first fault begins, and when the last has ended, in ms. */
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
     * The fleet has to be back within this time. Back is the start of the first 3 s in which it serves at least 98% of
     * what it served of what was asked in the 10 s before the first fault, with attempts and fetches a request at most
     * 1.2 times what they were then. A fetch is rare, so it gets twice the root of its expected number more, for
     * chance.
     */
    record FullServiceWithin(double ms) implements RecoveryExpectation {
        private static final double BEFORE_MS = 10_000;
        private static final double SPAN_MS = 3000;
        private static final double STEP_MS = 100;
        private static final double SERVED = 0.98;
        private static final double WORK = 1.2;

        /** Milliseconds from the first fault until it is back; infinite for never. */
        static double measure(Outcome o) {
            double from = begin(o);
            double asked = Math.max(1, o.sum(What.ASKED, from - BEFORE_MS, from));
            double served = o.sum(What.SERVED, from - BEFORE_MS, from) / asked;
            double attempts = o.sum(What.ATTEMPTS, from - BEFORE_MS, from) / asked;
            double fetches = o.sum(What.FETCHES, from - BEFORE_MS, from) / asked;
            // The window in which the first fault strikes is not before it: what goes down with it was asked earlier.
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

    /** What may happen in any one second from the first fault on, over all proxies. */
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

    /** What the busiest proxy takes of the requests from some seconds after the last fault on, by the mean. */
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

    /** No proxy may decide by what is older than it may be. */
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
        public boolean mayBeTheLabs(Outcome o) {
            return false;
        }
    }
}

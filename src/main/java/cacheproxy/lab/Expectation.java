package cacheproxy.lab;

import cacheproxy.emulator.Oracle;
import java.util.List;
import java.util.Locale;

/** An expectation of a scenario about its outcome. */
public sealed interface Expectation
        permits Expectation.RulesHeld,
                Expectation.Served,
                Expectation.SettledWithin,
                Expectation.FalseDeaths,
                ZoneExpectation,
                RecoveryExpectation {
    /** The result of a check; {@code measured} and {@code bound} are text for display. */
    record Result(String name, boolean held, String measured, String bound) {}

    /** Checks an outcome. */
    Result check(Outcome outcome);

    /** Whether a failed check may be caused by the lab itself, because its machine was too busy. */
    boolean mayBeCausedByLab(Outcome outcome);

    /** No rule of the oracle may be broken. */
    record RulesHeld() implements Expectation {
        @Override
        public Result check(Outcome o) {
            return new Result(
                    "rules",
                    o.verdict().held(),
                    o.verdict().held() ? "held" : "broken: " + o.verdict().breaches(),
                    "held");
        }

        /** A pause can delay a response, but can't cause a duplicate write or a wrong value. */
        @Override
        public boolean mayBeCausedByLab(Outcome o) {
            return o.verdict().breaches().keySet().stream().allMatch(r -> r == Oracle.Rule.LOST);
        }
    }

    /** At least this fraction of the requests, 0 to 1, has to be served in time. */
    record Served(double least) implements Expectation {
        @Override
        public Result check(Outcome o) {
            return new Result("served", o.served() >= least, percent(o.served()), "at least " + percent(least));
        }

        /** Only requests that were sent late can have failed because of the lab. */
        @Override
        public boolean mayBeCausedByLab(Outcome o) {
            return least - o.served() <= o.leftLate();
        }

        private static String percent(double share) {
            return String.format(Locale.ROOT, "%.1f%%", 100 * share);
        }
    }

    /** After the end of each fault the proxies' views of the fleet have to converge within this time. */
    record SettledWithin(double ms) implements Expectation {
        /** Allowance for the interval at which the proxies' views are sampled. */
        private static final double LOOK_MS = 300;

        @Override
        public Result check(Outcome o) {
            List<Scenario.Band> seen =
                    o.scenario().bands().stream().filter(b -> last(o, b)).toList();
            if (seen.isEmpty()) {
                return new Result("settled", false, "no fault leaves time to see it", "within the time after one");
            }
            double worst = seen.stream()
                    .mapToDouble(b -> o.settledAfter(b.toMs()))
                    .max()
                    .orElseThrow();
            return new Result(
                    "settled",
                    worst <= ms + LOOK_MS,
                    worst == Double.POSITIVE_INFINITY
                            ? "never"
                            : String.format(Locale.ROOT, "after %.1f s", worst / 1000),
                    String.format(Locale.ROOT, "within %.1f s", ms / 1000));
        }

        /**
         * Whether no other fault that ends at or after this one begins before the time allowed after it, and the run
         * lasts that long.
         */
        @SuppressWarnings("ReferenceEquality") // excludes only this band itself, not equal ones
        private boolean last(Outcome o, Scenario.Band band) {
            return o.scenario().bands().stream()
                            .noneMatch(b -> b != band && b.toMs() >= band.toMs() && b.fromMs() < band.toMs() + ms)
                    && band.toMs() + ms <= o.scenario().forMs();
        }

        @Override
        public boolean mayBeCausedByLab(Outcome o) {
            return o.busy() != null;
        }
    }

    /** Maximum number of times, over all proxies, that a live and reachable proxy is declared dead. */
    record FalseDeaths(long most) implements Expectation {
        @Override
        public Result check(Outcome o) {
            long n = o.looks().stream()
                    .mapToLong(Outcome.Look::refutedDeaths)
                    .max()
                    .orElse(0);
            return new Result("deaths", n <= most, n + " refuted", "at most " + most);
        }

        @Override
        public boolean mayBeCausedByLab(Outcome o) {
            return o.busy() != null;
        }
    }
}

package cacheproxy.lab;

import cacheproxy.emulator.Oracle;
import java.util.List;
import java.util.Locale;

/** Something that a scenario expects of its outcome. */
public sealed interface Expectation
        permits Expectation.RulesHeld,
                Expectation.Served,
                Expectation.SettledWithin,
                Expectation.FalseDeaths,
                ZoneExpectation,
                RecoveryExpectation {
    /** What came of it. {@code measured} and {@code bound} are for people. */
    record Result(String name, boolean held, String measured, String bound) {}

    /** Holds it against an outcome. */
    Result check(Outcome outcome);

    /** Whether an outcome that breaks it may be the lab's own doing, as its machine was too busy. */
    boolean mayBeTheLabs(Outcome outcome);

    /** None of the rules may be broken. */
    record RulesHeld() implements Expectation {
        @Override
        public Result check(Outcome o) {
            return new Result(
                    "rules",
                    o.verdict().held(),
                    o.verdict().held() ? "held" : "broken: " + o.verdict().breaches(),
                    "held");
        }

        /** A pause can make an answer late; it makes no write run twice and no value wrong. */
        @Override
        public boolean mayBeTheLabs(Outcome o) {
            return o.verdict().breaches().keySet().stream().allMatch(r -> r == Oracle.Rule.LOST);
        }
    }

    /** A part of the requests, 0 to 1, has to be served in time. */
    record Served(double least) implements Expectation {
        @Override
        public Result check(Outcome o) {
            return new Result("served", o.served() >= least, percent(o.served()), "at least " + percent(least));
        }

        /** Requests that left late may have failed for that, and no others. */
        @Override
        public boolean mayBeTheLabs(Outcome o) {
            return least - o.served() <= o.leftLate();
        }

        private static String percent(double share) {
            return String.format(Locale.ROOT, "%.1f%%", 100 * share);
        }
    }

    /** After each fault's end the view that the proxies keep has to settle within this time. */
    record SettledWithin(double ms) implements Expectation {
        /** Proxies are looked at this often, and one that is starting is not there yet. */
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

        /** Whether nothing else begins before it is over, or soon after. */
        @SuppressWarnings("ReferenceEquality") // all but this band, also one like it
        private boolean last(Outcome o, Scenario.Band band) {
            return o.scenario().bands().stream()
                            .noneMatch(b -> b != band && b.toMs() >= band.toMs() && b.fromMs() < band.toMs() + ms)
                    && band.toMs() + ms <= o.scenario().forMs();
        }

        @Override
        public boolean mayBeTheLabs(Outcome o) {
            return o.busy() != null;
        }
    }

    /** Proxies that live and can be reached may be given up so often at most, over all of them. */
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
        public boolean mayBeTheLabs(Outcome o) {
            return o.busy() != null;
        }
    }
}

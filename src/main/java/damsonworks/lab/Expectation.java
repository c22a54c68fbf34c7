package damsonworks.lab;

import damsonworks.fleet.Oracle;
import java.util.Locale;

/** Something that a scenario expects of its outcome. */
public sealed interface Expectation {
    /** What came of it. {@code measured} and {@code bound} are for people. */
    record Result(String name, boolean held, String measured, String bound) { }

    /** Holds it against an outcome. */
    Result check(Outcome outcome);

    /** Whether an outcome that breaks it may be the lab's own doing, as its machine was too busy. */
    boolean mayBeTheLabs(Outcome outcome);

    /** None of the rules may be broken. */
    record RulesHeld() implements Expectation {
        @Override
        public Result check(Outcome o) {
            return new Result("rules", o.verdict().held(), o.verdict().held() ? "held" : "broken: " + o.verdict().breaches(),
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
}

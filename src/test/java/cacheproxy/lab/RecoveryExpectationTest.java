package cacheproxy.lab;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.Series;
import cacheproxy.emulator.Series.What;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/** Tests the recovery expectations with constructed time series. */
class RecoveryExpectationTest {
    /**
     * An outcome of 40 s at 100 requests per second with all proxies killed at 10 s; {@code served} and {@code tries}
     * give the fraction of the requests for each tenth of a second.
     */
    private static Outcome outcome(IntToDoubleFunction served, IntToDoubleFunction tries, List<Series.Row> rows) {
        List<long[]> fine = new ArrayList<>();
        for (int t = 0; t < 400; t++) {
            long[] cell = new long[What.values().length];
            cell[What.ASKED.ordinal()] = 10;
            cell[What.SERVED.ordinal()] = Math.round(10 * served.applyAsDouble(t));
            cell[What.ATTEMPTS.ordinal()] = Math.round(10 * tries.applyAsDouble(t));
            cell[What.FETCHES.ordinal()] = 1;
            cell[What.OPENED.ordinal()] = t >= 120 && t < 125 ? 20 : 0;
            fine.add(cell);
        }
        Scenario scenario = new Scenario(
                "s",
                FleetSpec.standard(4, 4, 1),
                100,
                0,
                40_000,
                10,
                10,
                true,
                List.of(),
                List.of(),
                List.of(),
                List.of(new Scenario.Band("all die", 10_000, 10_000)));
        return new Outcome(scenario, 1, null, null, rows, fine, List.of(), null);
    }

    private static double back(IntToDoubleFunction served, IntToDoubleFunction tries) {
        return RecoveryExpectation.FullServiceWithin.measure(outcome(served, tries, List.of()));
    }

    @Test
    void backIsTheStartOfThreeSecondsThatAreAsGoodAsBefore() {
        assertThat(back(t -> t >= 100 && t < 137 ? 0 : 1, t -> 1)).isEqualTo(3700);
        assertThat(back(t -> (t >= 100 && t < 137) || t == 160 || t == 161 ? 0 : 1, t -> 1))
                .as("a gap of 0.2 s later")
                .isEqualTo(6200);
        assertThat(back(t -> t < 100 ? 1 : 0.9, t -> 1)).isInfinite();
    }

    @Test
    void serviceThatCostsMoreThanBeforeIsNotFull() {
        assertThat(back(t -> 1, t -> t >= 100 && t < 200 ? 1.5 : 1)).isBetween(8000.0, 10_000.0);
    }

    /** Full service is relative to the service before the fault, which need not be 100%. */
    @Test
    void itIsHeldAgainstWhatWasBefore() {
        assertThat(back(t -> t >= 100 && t < 120 ? 0 : 0.8, t -> 1)).isEqualTo(2000);
    }

    @Test
    void theWorstSecondIsFoundWhereverItBegins() {
        RecoveryExpectation.AtMost most = new RecoveryExpectation.AtMost(What.OPENED, 99);
        Outcome o = outcome(t -> 1, t -> 1, List.of());
        assertThat(most.check(o).measured()).isEqualTo("100 in the worst second");
        assertThat(most.check(o).held()).isFalse();
        assertThat(new RecoveryExpectation.AtMost(What.OPENED, 100).check(o).held())
                .isTrue();
    }

    @Test
    void theBusiestIsHeldAgainstTheMeanOfAllSomeTimeAfter() {
        List<Series.Row> rows = new ArrayList<>();
        for (int s = 0; s < 40; s++) {
            for (int p = 0; p < 4; p++) {
                rows.add(new Series.Row(
                        s, p, Map.of(What.ASKED, s < 20 ? p == 0 ? 400L : 0L : p == 3 ? 160L : 80L), new long[1]));
            }
        }
        Outcome o = outcome(t -> 1, t -> 1, rows);
        assertThat(new RecoveryExpectation.BusiestAtMost(1.6).check(o).measured())
                .isEqualTo("1.60 times the mean");
        assertThat(new RecoveryExpectation.BusiestAtMost(1.5).check(o).held()).isFalse();
    }
}

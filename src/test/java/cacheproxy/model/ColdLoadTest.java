package cacheproxy.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import cacheproxy.model.ColdLoad.Limits;
import cacheproxy.routing.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Counting of the load on a cold node against its limit, and studies of it over many runs. */
class ColdLoadTest {
    private static final Limits LIMITS = new Limits(0.4, 10_000, 3, 1000);
    private static final double BORN_MS = 5000;
    /** The warm node serves ten requests per window; at its start it withstands 3 x 0.4 x 10 of them plus the slack. */
    private static final double WARM_PER_MS = 0.01;

    private static final double STANDS_AT_START = 12 + 2 * Math.sqrt(12) + 2;

    private final ColdLoad load = new ColdLoad(LIMITS, WARM_PER_MS, BORN_MS);
    private int requests;

    private void send(int many, double now, int instance, boolean told) {
        for (int i = 0; i < many; i++) {
            int id = ++requests;
            Request request = new Request(id, 0, 0, id, now + 1000, Double.NaN, 0, false, false);
            Ask ask = new Ask(request, FleetDraw.CLASSES.get(0), 50, false, null);
            load.arrived(now, new Attempt(ask, 0, 1, now), instance, told);
        }
    }

    @ParameterizedTest
    @EnumSource(ColdRamp.class)
    void aWindowIsHeldAgainstWhatTheNodeStandsThen(ColdRamp ramp) {
        send(21, BORN_MS, 1, true);
        assertThat(load.fullest(ramp).requests()).isEqualTo(21);
        assertThat(load.fullest(ramp).part())
                .isCloseTo(21 / STANDS_AT_START, within(1e-9))
                .isGreaterThan(1);
        send(20, BORN_MS + 1001, 1, true);
        assertThat(load.fullest(ramp).requests())
                .as("what came a window before no longer counts")
                .isEqualTo(21);
        send(1000, BORN_MS + 10_000, 1, true);
        assertThat(load.fullest(ramp).requests()).as("a warm node stands all").isEqualTo(21);
    }

    @Test
    void aLateRampStandsLessThanASteadyOne() {
        send(30, BORN_MS + 7000, 1, true);
        assertThat(load.fullest(ColdRamp.LATE).part()).isCloseTo(30 / STANDS_AT_START, within(1e-9));
        assertThat(load.fullest(ColdRamp.STEADY).part()).isLessThan(1);
    }

    @Test
    void onlyWhatWasSentByThoseWhoKnewBreaksTheRule() {
        send(10, BORN_MS, 1, false);
        send(20, BORN_MS + 1, 2, true);
        assertThat(load.fullest(ColdRamp.STEADY).part()).isGreaterThan(1);
        assertThat(load.fullestTold(ColdRamp.STEADY).requests())
                .as("two thirds are not over two thirds")
                .isZero();
        send(1, BORN_MS + 2, 3, true);
        assertThat(load.fullestTold(ColdRamp.STEADY).requests()).isEqualTo(31);
        assertThat(load.fullestTold(ColdRamp.STEADY).topSender()).isCloseTo(20 / 31.0, within(1e-9));
        assertThat(load.breaksRule(ColdRamp.STEADY))
                .as("it fell at 21, half by those who knew")
                .isFalse();
    }

    @Test
    void whatComesAfterTheFirstFallBreaksNothing() {
        send(21, BORN_MS, 1, false);
        send(60, BORN_MS + 1, 2, true);
        assertThat(load.fullestTold(ColdRamp.STEADY).part()).isGreaterThan(1);
        assertThat(load.breaksRule(ColdRamp.STEADY)).isFalse();
        ColdLoad other = new ColdLoad(LIMITS, WARM_PER_MS, BORN_MS);
        assertThat(other.breaksRule(ColdRamp.STEADY)).as("nothing sent").isFalse();
    }

    /**
     * Regression cases: client retries filled windows to 1.24, 1.64 and 1.70 of the limit, and unmarked retries to
     * 1.14.
     */
    @ParameterizedTest
    @CsvSource({"PLAIN,29", "BURST,48", "BURST,29", "UNMARKED,45"})
    void thoseWhoHaveBeenToldPushNoColdNodeOver(ColdCase what, long seed) {
        ColdStudy study = ColdStudy.of(what, 10, 16, seed, 1);
        assertThat(study.loads()).isNotEmpty();
        assertThat(study.overByTold(ColdRamp.STEADY)).isZero();
    }

    @Test
    void theSameSeedsGiveTheSameStudy() {
        ColdStudy one = ColdStudy.of(ColdCase.ALL, 6, 12, 3, 2);
        assertThat(one.loads()).isNotEmpty();
        assertThat(one.text()).hasLineCount(ColdRamp.values().length);
        assertThat(one.text()).isEqualTo(ColdStudy.of(ColdCase.ALL, 6, 12, 3, 2).text());
        assertThat(one.text())
                .isNotEqualTo(ColdStudy.of(ColdCase.ALL, 6, 12, 5, 2).text());
    }
}

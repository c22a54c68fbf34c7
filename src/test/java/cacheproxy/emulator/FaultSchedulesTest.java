package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FaultSchedulesTest {
    @Property(seed = "1", tries = 100)
    void aReleaseKillsMostAtOnceAndNoneTwice(@ForAll @IntRange(min = 1, max = 64) int proxies) {
        List<Fault> faults = FaultSchedules.release(5000, proxies);
        assertThat(faults).extracting(Fault::target).doesNotHaveDuplicates();
        assertThat(faults).allSatisfy(f -> {
            assertThat(f.atMs()).isEqualTo(5000);
            assertThat(f.action()).isEqualTo(Fault.Action.KILL);
        });
        assertThat(faults.size())
                .isBetween(Math.max(1, (int) (proxies * 0.75)), Math.max(1, (int) (proxies * 0.85) + 1));
    }

    @Property(seed = "1", tries = 100)
    void replacementsComeInTurnAndEndInTime(
            @ForAll @DoubleRange(min = 0, max = 5000) double every,
            @ForAll @DoubleRange(min = 0, max = 60_000) double until,
            @ForAll @IntRange(min = 1, max = 70) int nodes) {
        List<Fault> faults = FaultSchedules.replacements(every, until, nodes);
        for (int i = 0; i < faults.size(); i++) {
            assertThat(faults.get(i).target()).isEqualTo("node-" + i % nodes);
            assertThat(faults.get(i).atMs()).isLessThan(until);
            assertThat(
                            i == 0
                                    ? faults.get(i).atMs()
                                    : faults.get(i).atMs() - faults.get(i - 1).atMs())
                    .isGreaterThan(FaultSchedules.MIN_INTERVAL_MS - 0.001);
        }
        assertThat(faults)
                .hasSizeLessThanOrEqualTo((int) (until / Math.max(every, FaultSchedules.MIN_INTERVAL_MS)) + 1);
    }

    /** The generated schedules can also be written as a fault script. */
    @Test
    void theyAreFaultsThatAScriptMayHold() throws Exception {
        FleetSpec spec = FleetSpec.standard(3, 5, 1);
        assertThat(FaultScript.parse(
                        "s",
                        List.of("2s proxy-0 kill 1s", "2s proxy-1 kill 1s", "2s proxy-2 kill 1s", "2s proxy-3 kill 1s"),
                        spec))
                .isEqualTo(FaultSchedules.release(2000, 5));
        assertThat(FaultScript.parse("s", List.of("1s node-0 restart 1s", "2s node-1 restart 1s"), spec))
                .isEqualTo(FaultSchedules.replacements(1000, 3000, 3));
        assertThat(FaultScript.parse("s", List.of("1s proxy-0 upgrade", "2s proxy-1 upgrade"), spec))
                .isEqualTo(FaultSchedules.upgrades(1000, 2500, 5));
    }
}

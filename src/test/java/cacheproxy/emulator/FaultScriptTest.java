package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FaultScriptTest {
    private static final FleetSpec SPEC = FleetSpec.standard(3, 2, 1);

    @Test
    void aScriptIsReadInTheOrderOfItsTimes() throws Exception {
        List<Fault> faults = FaultScript.parse(
                "x",
                List.of(
                        "# an evening",
                        "",
                        "1m proxy-1 kill 1.5s # gone",
                        "8s   node-*  spoil 3s 10%",
                        "300ms discovery down 8s",
                        "5s node-2 reset"),
                SPEC);
        assertThat(faults)
                .containsExactly(
                        new Fault(300, "discovery", Fault.Action.DOWN, 8000, 0),
                        new Fault(5000, "node-2", Fault.Action.RESET, 0, 0),
                        new Fault(8000, "node-0", Fault.Action.SPOIL, 3000, 0.1),
                        new Fault(8000, "node-1", Fault.Action.SPOIL, 3000, 0.1),
                        new Fault(8000, "node-2", Fault.Action.SPOIL, 3000, 0.1),
                        new Fault(60_000, "proxy-1", Fault.Action.KILL, 1500, 0));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "5 node-1 stall 2s | name the unit: 5s or 5ms",
                "5s node-1 stall 2 | name the unit: 2s or 2ms",
                "5s node-1 stal 2s | did you mean stall?",
                "5s node-1 strat 2s | did you mean",
                "5s node-7 stall 2s | node-0 to node-2",
                "5s proxy-2 kill 1s | proxy-0 to proxy-1",
                "5s discovery stall 2s | stall is for: node origin",
                "5s node-1 stall | 5s node-1 stall 2s",
                "5s node-1 reset 2s | 5s node-1 reset",
                "5s node-1 spoil 2s 0.1 | 10%",
                "5s node-1 spoil 2s 110% | 10%",
                "5s node-1 | 5s node-0 stall 2s",
                "99999999999s node-1 reset | 1.5s or 300ms"
            })
    void aBrokenLineIsToldWithFileLineAndFix(String line, String fix) {
        assertThatThrownBy(() -> FaultScript.parse("evening.faults", List.of("1s node-0 reset", line), SPEC))
                .isInstanceOf(FaultScript.ScriptException.class)
                .hasMessageStartingWith("evening.faults:2: ")
                .hasMessageContaining(fix);
    }

    @Test
    void allBrokenLinesAreToldAtOnce() {
        assertThatThrownBy(() -> FaultScript.parse("x", List.of("5", "1s node-0 reset", "a b c"), SPEC))
                .hasMessageContaining("x:1: ")
                .hasMessageContaining("x:3: ");
    }

    @Test
    void aFleetOfNoSenseIsRefused() {
        assertThatThrownBy(() -> FleetSpec.standard(0, 1, 1)).hasMessageContaining("nodes is 0");
        assertThatThrownBy(() -> TrafficClass.mix("text=1:sometimes", 1000)).hasMessageContaining("text=1:sometimes");
        assertThatThrownBy(() -> TrafficClass.mix("text", 1000)).hasMessageContaining("NAME=SHARE");
        assertThat(TrafficClass.mix("a=1,b=2:keyed:600", 1000))
                .extracting(TrafficClass::deadlineMs)
                .containsExactly(1000.0, 600.0);
    }
}

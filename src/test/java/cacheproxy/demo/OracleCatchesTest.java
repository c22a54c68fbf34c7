package cacheproxy.demo;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.demo.BrokenProxy.Breach;
import cacheproxy.emulator.EmulatedFleet;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.Oracle;
import cacheproxy.emulator.Oracle.Rule;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.ValueSizes;
import cacheproxy.load.Generator;
import cacheproxy.load.Shape;
import cacheproxy.load.SyntheticWorkload;
import java.io.InputStream;
import java.net.URI;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the oracle detects each kind of rule breach by a proxy or node over real sockets, and no others. */
@Timeout(60)
class OracleCatchesTest {
    private static final List<TrafficClass> CLASSES = TrafficClass.mix("seg-text=3,fix-submit=1:unsafe", 4000);
    private static final FleetSpec SPEC = FleetSpec.standard(2, 1, 1)
            .withClasses(CLASSES)
            .withWork(0, 0)
            .withHeld(0)
            .withBounds(1000, 10_000, 1000, 60)
            .withTimes(0, 60_000, 50, 1000);

    private static Oracle.Verdict drive(EmulatedFleet fleet, Breach breach, int connections) throws Exception {
        try (BrokenProxy proxy = new BrokenProxy(fleet, breach)) {
            Generator.Settings settings =
                    new Generator.Settings(List.of(proxy.address()), CLASSES, connections, 8, 10_000, 0, 0, 10, 1);
            try (Generator generator = new Generator(
                    settings,
                    new SyntheticWorkload(new SyntheticWorkload.Settings(
                            100,
                            1,
                            Shape.STEADY,
                            SyntheticWorkload.Arrivals.CONSTANT,
                            8,
                            1,
                            0,
                            ValueSizes.of(10),
                            CLASSES,
                            1)),
                    new OracleObserver(fleet, port -> 0))) {
                assertThat(generator.start().get(50, TimeUnit.SECONDS).requests())
                        .isBetween(99L, 100L);
            }
            fleet.awaitGrace();
            return fleet.verdict();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "REPEATS_WRITES,RAN_TWICE",
        "REFUSES_WHAT_RAN,REFUSED_AND_RAN",
        "KEEPS_VALUES,STALE",
        "MIXES_KEYS,WRONG_VALUE",
        "CUTS_VALUES,WRONG_VALUE"
    })
    void aProxyThatBreaksOneRule(Breach breach, Rule rule) throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(SPEC)) {
            assertThat(drive(fleet, breach, 8).breaches()).containsOnlyKeys(rule);
        }
    }

    @Test
    void anHonestProxyBreaksNone() throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(SPEC)) {
            Oracle.Verdict verdict = drive(fleet, Breach.NONE, 8);
            assertThat(verdict.breaches()).isEmpty();
            assertThat(verdict.effects()).isBetween(10L, 40L);
        }
    }

    /** Lost or duplicate responses shift the later ones on the connection, so that more than one rule is broken. */
    @ParameterizedTest
    @CsvSource({"LOSES_ANSWERS,LOST", "ANSWERS_TWICE,ANSWERED_TWICE"})
    void aProxyThatMiscountsAnswers(Breach breach, Rule rule) throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(SPEC)) {
            assertThat(drive(fleet, breach, 8).breaches()).containsKey(rule);
        }
    }

    private static void awaitTold(EmulatedFleet fleet, String what) {
        URI list = URI.create("http://127.0.0.1:" + fleet.discovery(0, 0).getPort() + "/discovery/hosts");
        Await.until("the list says " + what, () -> {
            try (InputStream in = list.toURL().openStream()) {
                return new String(in.readAllBytes(), UTF_8).contains(what);
            }
        });
    }

    @Test
    void aProxyThatSendsOnToADrainingNode() throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(SPEC)) {
            fleet.play(List.of(new Fault(0, "node-0", Fault.Action.DRAIN, 0, 0)), (p, f) -> {});
            awaitTold(fleet, "draining");
            assertThat(drive(fleet, Breach.IGNORES_DRAINS, 8).breaches()).containsOnlyKeys(Rule.SENT_AFTER_DRAIN);
        }
    }

    @Test
    void aProxyThatFloodsAColdNode() throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(SPEC.withWork(100, 0))) {
            fleet.play(List.of(new Fault(0, "node-0", Fault.Action.RESTART, 0, 0)), (p, f) -> {});
            awaitTold(
                    fleet,
                    "\"born_ms\":" + Long.toString(System.currentTimeMillis()).charAt(0));
            assertThat(drive(fleet, Breach.FLOODS_COLD_NODES, 8).breaches()).containsKey(Rule.PUSHED_OVER);
        }
    }

    @Test
    void aNodeThatKeepsWhatAWriteHasVoided() throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(SPEC)) {
            fleet.play(
                            List.of(
                                    new Fault(0, "node-0", Fault.Action.STALE, 60_000, 0),
                                    new Fault(0, "node-1", Fault.Action.STALE, 60_000, 0)),
                            (p, f) -> {})
                    .get();
            assertThat(drive(fleet, Breach.NONE, 8).breaches()).containsOnlyKeys(Rule.STALE);
        }
    }
}

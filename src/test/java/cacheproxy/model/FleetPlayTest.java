package cacheproxy.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.RoutingSettings;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fault scenarios on small fleets, and bounds on a tier's use of shared resources as it grows. */
class FleetPlayTest {
    private static FleetPlay fleet(int instances, int nodes, long seed, double seconds) {
        return new FleetPlay(FleetDraw.of(instances, nodes, seed), seconds);
    }

    @ParameterizedTest
    @EnumSource(value = Day.class, names = "SOAK", mode = EnumSource.Mode.EXCLUDE)
    void noRuleIsBrokenOnASmallDay(Day day) {
        for (long seed = 1; seed <= 3; seed++) {
            PlayReport r = PlayReport.of(day, FleetDraw.of(10, 24, seed), day.seconds());
            assertThat(r.rules().told()).as("seed %d", seed).isEmpty();
            assertThat(r.tally().total(Figure.FIRST_TRIES)).isGreaterThan(1000);
            assertThat(r.tally().worth()).isBetween(0.3, 1.0);
        }
    }

    /** Each fault in the decision module is reported as a violation of the rule that it breaks. */
    @ParameterizedTest
    @EnumSource(Mutant.class)
    void aModuleThatBreaksARuleIsCaught(Mutant mutant) {
        assertThat(hardDay(mutant, CarpLoadBalancer::new).rules().told())
                .as("with the module as it is")
                .isEmpty();
        FleetPlay p = hardDay(mutant, mutant::module);
        assertThat(p.rules().kept()).isFalse();
        assertThat(p.rules().counts()).containsKey(mutant.breaks);
        assertThat(p.rules().told()).hasSizeLessThanOrEqualTo(20);
    }

    private static FleetPlay hardDay(Mutant mutant, BiFunction<RoutingSettings, Long, LoadBalancer> modules) {
        Day day = switch (mutant) {
            case KEEPS_WHAT_DRAINS -> Day.ROLL;
            case PREFERS_THE_NEWEST -> Day.JOIN;
            default -> Day.SPLIT;
        };
        FleetDraw draw = FleetDraw.of(10, 24, 2);
        FleetPlay p =
                new FleetPlay(mutant == Mutant.PREFERS_THE_NEWEST ? draw.withLoad(1.5) : draw, day.seconds(), modules);
        day.arrange(p);
        return p.run();
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        FleetDraw draw = FleetDraw.of(12, 30, 7);
        String one = PlayReport.of(Day.SPLIT, draw, 20).json().toString();
        assertThat(PlayReport.of(Day.SPLIT, draw, 20).json().toString()).isEqualTo(one);
        assertThat(PlayReport.of(Day.SPLIT, FleetDraw.of(12, 30, 8), 20).json().toString())
                .isNotEqualTo(one);
    }

    /** Each counter has its own bound, expressed in the quantities that it may grow with. */
    @ParameterizedTest
    @ValueSource(ints = {1, 6, 14, 48})
    void whatIsSharedIsNotAskedForMoreThanItsBound(int n) {
        int replaced = 20;
        FleetPlay p = fleet(n, 60, 11, 36);
        p.at(6, () -> IntStream.range(0, n * 8 / 10).forEach(p::kill));
        p.at(12, () -> p.some(p.nodes(), 6).forEach(node -> node.silent(true)));
        p.at(16, () -> p.nodes().forEach(node -> node.silent(false)));
        for (int i = 0; i < replaced; i++) {
            p.at(18 + i * 0.35, () -> p.replace(p.some(p.nodes(), 1).get(0), 0));
        }
        Tally c = p.run().tally();
        assertThat(p.rules().told()).isEmpty();
        // A watch is renewed every 10 s, at a start, when peers have a newer version, or after a rejected call.
        assertThat(c.total(Figure.CALLS)).as("calls for the list").isLessThanOrEqualTo(n * 14);
        // About two instances announce each version, one version for each node that leaves and one for each that joins;
        // an instance whose connection is rejected sends messages too.
        assertThat(c.total(Figure.MESSAGES))
                .as("messages")
                .isLessThanOrEqualTo((n - 1) * (replaced * 2 * 4 + c.total(Figure.NO_PLACE)));
        // Each may send five, plus a twentieth of what it has answered; one that helped is credited back.
        assertThat(c.total(Figure.SECOND_COPIES))
                .as("second copies")
                .isLessThanOrEqualTo(n * 5 * 2 + c.total(Figure.REQUESTS) / 10);
        assertThat(c.total(Figure.FETCHES_AGAIN))
                .as("fetches of a key under way")
                .isLessThanOrEqualTo(c.total(Figure.FETCHES) / 8);
        // When each instance had to find out by itself, this was about six for each instance beyond the limit.
        assertThat(c.total(Figure.NO_PLACE))
                .as("turned away")
                .isLessThanOrEqualTo(n <= p.draw().places() ? 0 : (n - p.draw().places()) * 60.0);
    }

    /** Discovery is down while most instances restart: they serve from the stored list and spread their calls. */
    @ParameterizedTest
    @ValueSource(ints = {1, 14, 60})
    void aReleaseWhileDiscoveryTurnsCallersAway(int n) {
        FleetPlay p = fleet(n, 40, 5, 30);
        p.at(0, () -> p.discovery().down(true));
        p.at(5, () -> IntStream.range(0, Math.max(1, n * 7 / 10)).forEach(p::kill));
        p.at(14, () -> p.discovery().down(false));
        Tally c = p.run().tally();
        assertThat(p.rules().told()).isEmpty();
        assertThat(c.total(Figure.CALLS_FAILED)).isPositive();
        assertThat(c.total(Figure.CALLS)).isLessThanOrEqualTo(n * 20);
        assertThat(p.versions()).as("all have discovery's list in the end").containsOnly(1L);
    }

    /** Peer messages are cut for 6 s and half of the instances get late lists; afterwards all converge. */
    @Test
    void whoeverWasToldLateComesToHoldWhatTheOthersHold() {
        FleetPlay p = fleet(20, 30, 4, 40);
        p.at(5, () -> {
            p.discovery().late(IntStream.range(0, 10).boxed().toList(), 6000);
            IntStream.range(0, 20).forEach(i -> p.instance(i).deaf(true));
        });
        p.at(6, () -> p.some(p.nodes(), 8).forEach(n -> p.replace(n, 0)));
        p.at(11, () -> {
            p.discovery().late(List.of(), 0);
            IntStream.range(0, 20).forEach(i -> p.instance(i).deaf(false));
        });
        p.run();
        assertThat(p.rules().told()).isEmpty();
        assertThat(p.versions()).containsOnly(p.discovery().version());
    }

    /** One instance has a quarter of all traffic. */
    @Test
    void oneInstanceTakesSeveralTimesTheMean() {
        FleetPlay p = fleet(20, 30, 6, 20);
        p.at(3, () -> p.clients().crowd(7, 0.25));
        p.run();
        assertThat(p.rules().told()).isEmpty();
        assertThat(p.tally().worth()).isGreaterThan(0.5);
    }

    /** Guards against a leak of state for removed nodes: in 45 minutes each node is replaced many times. */
    @Test
    void whatIsKeptStaysBoundedOnTheLongDay() throws ReflectiveOperationException {
        FleetPlay p = new FleetPlay(FleetDraw.of(2, 6, 9).withLoad(0.08), 2700);
        Day.SOAK.arrange(p);
        p.run();
        assertThat(p.rules().told()).isEmpty();
        assertThat(p.nodes()).hasSize(6);
        for (int i = 0; i < 2; i++) {
            assertThat(p.instance(i).held())
                    .as("kept for requests, links and drains")
                    .isLessThan(60);
            for (Map.Entry<String, Integer> kept : sizes(p.instance(i).policy()).entrySet()) {
                assertThat(kept.getValue())
                        .as("%s of the module", kept.getKey())
                        .isLessThan(200);
            }
        }
    }

    /** Sizes of all maps and collections in the module and the objects it is made of, by field path. */
    private static Map<String, Integer> sizes(Object module) throws ReflectiveOperationException {
        Map<String, Integer> sizes = new java.util.TreeMap<>();
        addSizes("", module, sizes, Collections.newSetFromMap(new IdentityHashMap<>()));
        assertThat(sizes)
                .as("maps of the module")
                .containsKeys("endpoints.entries", "pending", "timers.requests", "fetches.fetches", "zones.zones");
        return sizes;
    }

    private static void addSizes(String path, Object of, Map<String, Integer> sizes, Set<Object> seen)
            throws ReflectiveOperationException {
        if (of == null || !of.getClass().getName().startsWith("cacheproxy.routing.") || !seen.add(of)) {
            return;
        }
        for (Field f : of.getClass().getDeclaredFields()) {
            if (Modifier.isStatic(f.getModifiers()) || of instanceof Record) {
                continue;
            }
            f.setAccessible(true);
            Object value = f.get(of);
            if (value instanceof Map<?, ?> m) {
                sizes.put(path + f.getName(), m.size());
            } else if (value instanceof Collection<?> c) {
                sizes.put(path + f.getName(), c.size());
            } else {
                addSizes(path + f.getName() + ".", value, sizes, seen);
            }
        }
    }

    @Test
    void aSizeThatMakesNoSenseIsToldByItsName() {
        assertThatThrownBy(() -> FleetDraw.of(0, 10, 1)).hasMessageContaining("0 instances before 10 nodes");
        assertThatThrownBy(() -> fleet(1, 10, 1, 0)).hasMessageContaining("a run of 0.0 s");
    }
}

package cacheproxy.failover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.failover.ZoneState.Cause;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class FailoverPlanTest {
    @Provide
    Arbitrary<FailoverPlan> plans() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, ZoneState.ALL_PARTS),
                        Arbitraries.of(Cause.class),
                        Arbitraries.integers().between(0, ZoneState.MAX_LEAVE_COUNT))
                .as(ZoneState::new)
                .list()
                .ofSize(4)
                .map(FailoverPlan::new);
    }

    @Property(seed = "1")
    void joinsAreCommutativeAssociativeAndIdempotent(
            @ForAll("plans") FailoverPlan a, @ForAll("plans") FailoverPlan b, @ForAll("plans") FailoverPlan c) {
        assertThat(a.join(b)).isEqualTo(b.join(a));
        assertThat(a.join(b).join(c)).isEqualTo(a.join(b.join(c)));
        assertThat(a.join(a)).isSameAs(a);
        for (int z = 0; z < 4; z++) {
            assertThat(a.join(b).stateOf(z).epoch())
                    .isEqualTo(Math.max(a.stateOf(z).epoch(), b.stateOf(z).epoch()));
        }
    }

    @Property(seed = "2")
    void aThirdOfAllZonesStaysOpen(@ForAll("plans") FailoverPlan a) {
        int sum = 0;
        for (int z = 0; z < 4; z++) {
            assertThat(a.trafficParts(z)).isBetween(a.stateOf(z).trafficParts(), ZoneState.ALL_PARTS);
            sum += a.trafficParts(z);
        }
        int decided = a.zones().stream().mapToInt(ZoneState::trafficParts).sum();
        assertThat(sum).isEqualTo(Math.max(decided, 4 * ZoneState.ALL_PARTS / 3));
    }

    @Property(seed = "3")
    void metadataEncodesTheWholePlan(@ForAll("plans") FailoverPlan a) {
        byte[] metadata = a.encode();
        assertThat(metadata.length).isLessThanOrEqualTo(24);
        assertThat(FailoverPlan.decode(metadata, 4)).isEqualTo(a.hasDecisions() ? a : FailoverPlan.initial(4));
        assertThat(FailoverPlan.decode(new byte[5], 4)).isEqualTo(FailoverPlan.initial(4));
    }

    /** The test vectors of docs/design/members-wire.md. */
    @Test
    void metadataIsEncodedAsOnTheWirePage() {
        HexFormat hex = HexFormat.of();
        FailoverPlan plan = FailoverPlan.initial(2).with(0, ZoneState.INITIAL.next(0, Cause.EVIDENCE, 1));
        assertThat(hex.formatHex(plan.encode())).isEqualTo("00000104000000f0");
        assertThat(hex.formatHex(
                        ZoneHealthReport.encode(List.of(ZoneHealth.UNREACHABLE, ZoneHealth.HEALTHY), Set.of(), false)))
                .isEqualTo("00002c");
        ZoneHealthReport r = ZoneHealthReport.decode(
                3,
                1,
                ZoneHealthReport.encode(List.of(ZoneHealth.DEGRADED, ZoneHealth.HEALTHY), Set.of(1), true),
                new byte[0],
                2);
        assertThat(r.health()).containsExactly(ZoneHealth.DEGRADED, ZoneHealth.HEALTHY);
        assertThat(r.coldZones()).containsExactly(1);
        assertThat(r.originSaturated()).isTrue();
        assertThat(ZoneHealthReport.decode(3, 1, new byte[] {1}, new byte[0], 2).health())
                .containsOnly(ZoneHealth.UNKNOWN);
    }

    @Test
    void theLastZoneIsNeverClosed() {
        ZoneState closed = ZoneState.INITIAL.next(0, Cause.LEAVE, 0);
        assertThat(new FailoverPlan(List.of(closed)).trafficParts(0)).isPositive();
        FailoverPlan two = new FailoverPlan(List.of(closed, ZoneState.INITIAL));
        assertThat(two.trafficParts(0)).isZero();
        assertThat(two.allowsTrafficParts(1, 0)).isFalse();
        assertThat(FailoverPlan.initial(2).allowsTrafficParts(1, 0)).isTrue();
    }

    @Test
    void anOrderPrevailsOverEvidenceOfItsEpochAndNotOfALaterOne() {
        ZoneState evidence = new ZoneState(3, 15, Cause.EVIDENCE, 0);
        ZoneState order = new ZoneState(3, 0, Cause.LEAVE, 0);
        assertThat(new FailoverPlan(List.of(evidence))
                        .join(new FailoverPlan(List.of(order)))
                        .stateOf(0))
                .isEqualTo(order);
        ZoneState later = new ZoneState(4, 15, Cause.EVIDENCE, 0);
        assertThat(new FailoverPlan(List.of(order))
                        .join(new FailoverPlan(List.of(later)))
                        .stateOf(0))
                .isEqualTo(later);
    }

    @Test
    void atTheHighestEpochNothingIsDecided() {
        ZoneState last = new ZoneState(ZoneState.MAX_EPOCH, 7, Cause.HOLD, 1);
        assertThat(last.next(0, Cause.LEAVE, 0)).isSameAs(last);
        assertThat(ZoneState.decode(last.encode())).isEqualTo(last);
    }
}

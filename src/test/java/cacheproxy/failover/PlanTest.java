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

class PlanTest {
    @Provide
    Arbitrary<Plan> plans() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, ZoneState.WHOLE),
                        Arbitraries.of(Cause.class),
                        Arbitraries.integers().between(0, ZoneState.MOST_LEAVES))
                .as(ZoneState::new)
                .list()
                .ofSize(4)
                .map(Plan::new);
    }

    @Property(seed = "1")
    void whoHaveHeardTheSameHoldTheSame(@ForAll("plans") Plan a, @ForAll("plans") Plan b, @ForAll("plans") Plan c) {
        assertThat(a.join(b)).isEqualTo(b.join(a));
        assertThat(a.join(b).join(c)).isEqualTo(a.join(b.join(c)));
        assertThat(a.join(a)).isSameAs(a);
        for (int z = 0; z < 4; z++) {
            assertThat(a.join(b).of(z).epoch())
                    .isEqualTo(Math.max(a.of(z).epoch(), b.of(z).epoch()));
        }
    }

    @Property(seed = "2")
    void aThirdOfAllStaysOpenWhateverWasDecided(@ForAll("plans") Plan a) {
        int sum = 0;
        for (int z = 0; z < 4; z++) {
            assertThat(a.open(z)).isBetween(a.of(z).open(), ZoneState.WHOLE);
            sum += a.open(z);
        }
        int decided = a.zones().stream().mapToInt(ZoneState::open).sum();
        assertThat(sum).isEqualTo(Math.max(decided, 4 * ZoneState.WHOLE / 3));
    }

    @Property(seed = "3")
    void aNoteHoldsAllOfIt(@ForAll("plans") Plan a) {
        byte[] note = a.encode();
        assertThat(note.length).isLessThanOrEqualTo(24);
        assertThat(Plan.decode(note, 4)).isEqualTo(a.touched() ? a : Plan.untouched(4));
        assertThat(Plan.decode(new byte[5], 4)).isEqualTo(Plan.untouched(4));
    }

    /** The vectors of docs/design/members-wire.md. */
    @Test
    void theFormOnTheWireIsAsItIsWritten() {
        HexFormat hex = HexFormat.of();
        Plan plan = Plan.untouched(2).with(0, ZoneState.UNTOUCHED.next(0, Cause.EVIDENCE, 1));
        assertThat(hex.formatHex(plan.encode())).isEqualTo("00000104000000f0");
        assertThat(hex.formatHex(Report.encode(List.of(Sight.LOST, Sight.GOOD), Set.of(), false)))
                .isEqualTo("00002c");
        Report r = Report.decode(3, 1, Report.encode(List.of(Sight.POOR, Sight.GOOD), Set.of(1), true), new byte[0], 2);
        assertThat(r.sights()).containsExactly(Sight.POOR, Sight.GOOD);
        assertThat(r.cold()).containsExactly(1);
        assertThat(r.originTight()).isTrue();
        assertThat(Report.decode(3, 1, new byte[] {1}, new byte[0], 2).sights()).containsOnly(Sight.NONE);
    }

    @Test
    void theLastZoneIsNeverLeft() {
        ZoneState closed = ZoneState.UNTOUCHED.next(0, Cause.LEAVE, 0);
        assertThat(new Plan(List.of(closed)).open(0)).isPositive();
        Plan two = new Plan(List.of(closed, ZoneState.UNTOUCHED));
        assertThat(two.open(0)).isZero();
        assertThat(two.bears(1, 0)).isFalse();
        assertThat(Plan.untouched(2).bears(1, 0)).isTrue();
    }

    @Test
    void anOperatorsWordHoldsAgainstEvidenceOfTheSameEpochAndNotOfALaterOne() {
        ZoneState seen = new ZoneState(3, 15, Cause.EVIDENCE, 0);
        ZoneState told = new ZoneState(3, 0, Cause.LEAVE, 0);
        assertThat(new Plan(List.of(seen)).join(new Plan(List.of(told))).of(0)).isEqualTo(told);
        ZoneState later = new ZoneState(4, 15, Cause.EVIDENCE, 0);
        assertThat(new Plan(List.of(told)).join(new Plan(List.of(later))).of(0)).isEqualTo(later);
    }

    @Test
    void atTheHighestEpochNothingBeginsAnew() {
        ZoneState last = new ZoneState(ZoneState.MOST_EPOCH, 7, Cause.HOLD, 1);
        assertThat(last.next(0, Cause.LEAVE, 0)).isSameAs(last);
        assertThat(ZoneState.of(last.bits())).isEqualTo(last);
    }
}

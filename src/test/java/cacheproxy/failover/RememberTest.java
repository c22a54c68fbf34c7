package cacheproxy.failover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.failover.ZoneState.Cause;
import cacheproxy.failover.Zones.Held;
import cacheproxy.membership.ConfiguredMembers;
import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What a process makes of what its last life held: an epoch never goes back, and what is too old closes and opens
 * nothing.
 */
class RememberTest {
    private static final ZoneState CLOSED = new ZoneState(5, 0, Cause.EVIDENCE, 1);
    private final Zones zones = new Zones(new ZoneSettings(0, 0, 4, 9000));

    private static MembershipView alone() {
        return new MembershipView(
                0, 0, List.of(Member.start(0, 1, 7, 0, new byte[0])), 0, new ConfiguredMembers(1), false);
    }

    private void tick(double nowMs) {
        zones.tick(nowMs, alone());
    }

    @Test
    void whatHoldsIsGoneOnWith() {
        zones.remember(0, Map.of(2, new Held(CLOSED, 5)), true);
        tick(100);
        assertThat(zones.plan().of(2)).isEqualTo(CLOSED);
        assertThat(zones.held()).containsExactly(Map.entry(2, new Held(CLOSED, 5)));
    }

    /**
     * It is not told to others either: in one epoch the wider open share would hold, and open what they have closed.
     */
    @Test
    void ofWhatIsTooOldOnlyTheEpochCounts() {
        zones.remember(0, Map.of(2, new Held(CLOSED, 9)), false);
        tick(100);
        assertThat(zones.plan().of(2)).isEqualTo(ZoneState.UNTOUCHED);
        assertThat(zones.planNote()).isEmpty();
        assertThat(zones.held()).containsExactly(Map.entry(2, new Held(ZoneState.UNTOUCHED, 9)));
        zones.leave(200, 2, 0);
        assertThat(zones.plan().of(2)).isEqualTo(new ZoneState(10, 0, Cause.LEAVE, 0));
        assertThat(zones.held().get(2).floor()).isEqualTo(10);
    }

    @Test
    void whatIsKnownByNowGoesBeforeIt() {
        zones.leave(0, 1, 0);
        zones.release(10, 1);
        ZoneState now = zones.plan().of(1);
        zones.remember(20, Map.of(1, new Held(new ZoneState(1, 0, Cause.LEAVE, 0), 1), 9, new Held(CLOSED, 5)), true);
        assertThat(zones.plan().of(1)).isEqualTo(now);
    }

    /**
     * A zone that was lost and answers again is good by its answers since, not after a whole window without silence.
     */
    @Test
    void whatWasLostAndAnswersIsSoonGood() {
        Observer o = new Observer(1);
        o.servers(0, 6);
        for (int server = 0; server < 6; server++) {
            o.silent(1000 + 100 * server, 0, server);
        }
        assertThat(o.sight(1600, 0)).isEqualTo(Sight.LOST);
        o.answered(1700, 0, false);
        o.answered(1800, 0, false);
        assertThat(o.sight(1800, 0)).isEqualTo(Sight.GOOD);
        assertThat(o.cold(1800, 0)).isTrue();
        o.silent(1900, 0, 3);
        assertThat(o.sight(1900, 0)).as("a third of what was sent since").isEqualTo(Sight.NONE);
    }
}

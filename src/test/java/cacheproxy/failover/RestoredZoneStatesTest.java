package cacheproxy.failover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.failover.ZoneState.Cause;
import cacheproxy.membership.ConfiguredMembers;
import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Restoring the zone states that an earlier process stored: epochs never decrease, and states that are too old neither
 * close nor open a zone.
 */
class RestoredZoneStatesTest {
    private static final ZoneState CLOSED = new ZoneState(5, 0, Cause.EVIDENCE, 1);
    private final ZoneFailover zones = new ZoneFailover(new ZoneFailoverSettings(0, 0, 4, 9000));

    private static MembershipView alone() {
        return new MembershipView(
                0, 0, List.of(Member.start(0, 1, 7, 0, new byte[0])), 0, new ConfiguredMembers(1), false);
    }

    private void tick(double nowMs) {
        zones.tick(nowMs, alone());
    }

    @Test
    void aRestoredStateThatStillHoldsIsInThePlan() {
        zones.restore(0, Map.of(2, new StoredZoneState(CLOSED, 5)), true);
        tick(100);
        assertThat(zones.plan().stateOf(2)).isEqualTo(CLOSED);
        assertThat(zones.statesToStore()).containsExactly(Map.entry(2, new StoredZoneState(CLOSED, 5)));
    }

    /**
     * The expired state is not published either: in the same epoch the state with more parts open prevails, so it could
     * open a zone that other instances have closed.
     */
    @Test
    void ofAnExpiredStateOnlyTheEpochCounts() {
        zones.restore(0, Map.of(2, new StoredZoneState(CLOSED, 9)), false);
        tick(100);
        assertThat(zones.plan().stateOf(2)).isEqualTo(ZoneState.INITIAL);
        assertThat(zones.planMetadata()).isEmpty();
        assertThat(zones.statesToStore()).containsExactly(Map.entry(2, new StoredZoneState(ZoneState.INITIAL, 9)));
        zones.leaveZone(200, 2, 0);
        assertThat(zones.plan().stateOf(2)).isEqualTo(new ZoneState(10, 0, Cause.LEAVE, 0));
        assertThat(zones.statesToStore().get(2).minEpoch()).isEqualTo(10);
    }

    @Test
    void aLaterDecisionPrevailsOverARestoredState() {
        zones.leaveZone(0, 1, 0);
        zones.releaseZone(10, 1);
        ZoneState now = zones.plan().stateOf(1);
        zones.restore(
                20,
                Map.of(
                        1,
                        new StoredZoneState(new ZoneState(1, 0, Cause.LEAVE, 0), 1),
                        9,
                        new StoredZoneState(CLOSED, 5)),
                true);
        assertThat(zones.plan().stateOf(1)).isEqualTo(now);
    }

    /**
     * A zone that was unreachable and responds again is healthy by its responses since then; it does not have to wait
     * for a whole window without timeouts.
     */
    @Test
    void anUnreachableZoneThatRespondsIsSoonHealthy() {
        ZoneHealthMonitor monitor = new ZoneHealthMonitor(1);
        monitor.setReadyNodes(0, 6);
        for (int server = 0; server < 6; server++) {
            monitor.onNoResponse(1000 + 100 * server, 0, server);
        }
        assertThat(monitor.health(1600, 0)).isEqualTo(ZoneHealth.UNREACHABLE);
        monitor.onResponse(1700, 0, false);
        monitor.onResponse(1800, 0, false);
        assertThat(monitor.health(1800, 0)).isEqualTo(ZoneHealth.HEALTHY);
        assertThat(monitor.isCold(1800, 0)).isTrue();
        monitor.onNoResponse(1900, 0, 3);
        assertThat(monitor.health(1900, 0))
                .as("a third of the attempts since then")
                .isEqualTo(ZoneHealth.UNKNOWN);
    }
}

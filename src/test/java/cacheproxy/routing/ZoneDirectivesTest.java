package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.PeerMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the decision module makes of the fleet's orders for zones. Servers stand in zone 0 or 1 by their numbers. */
class ZoneDirectivesTest {
    private static final int KEYS = 400;
    private int id;

    private static void order(LoadBalancerHarness rig, int zone, double open, boolean tries, boolean afresh) {
        rig.loadBalancer.onZoneDirectives(rig.now, List.of(new ZoneDirective(zone, open, tries, afresh)), rig);
    }

    private Map<Integer, Integer> placement(LoadBalancerHarness rig) {
        Map<Integer, Integer> at = new HashMap<>();
        for (int key = 1; key <= KEYS; key++) {
            rig.now += 10;
            rig.read(++id, key * 7919L);
            at.put(key, rig.last().server());
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        return at;
    }

    @Test
    void aShareOfAZonesKeysGoesToTheRunnerUpAndNoOtherKeyMoves() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        Map<Integer, Integer> whole = placement(rig);
        order(rig, 1, 0.4, false, false);
        Map<Integer, Integer> part = placement(rig);
        order(rig, 1, 0.2, false, false);
        Map<Integer, Integer> less = placement(rig);
        order(rig, 1, 0, false, false);
        Map<Integer, Integer> none = placement(rig);
        order(rig, 1, 1, false, true);
        assertThat(placement(rig)).isEqualTo(whole);
        int its = 0;
        int stayed = 0;
        for (int key = 1; key <= KEYS; key++) {
            if (whole.get(key) % 2 == 0) {
                assertThat(part.get(key)).isEqualTo(whole.get(key));
                assertThat(none.get(key)).isEqualTo(whole.get(key));
                continue;
            }
            its++;
            stayed += part.get(key).equals(whole.get(key)) ? 1 : 0;
            assertThat(none.get(key) % 2).isZero();
            if (!part.get(key).equals(whole.get(key))) {
                assertThat(part.get(key))
                        .as("moves once")
                        .isEqualTo(none.get(key))
                        .isEqualTo(less.get(key));
            }
        }
        assertThat((double) stayed / its).isBetween(0.32, 0.48);
    }

    @Test
    void allInstancesLeaveTheSameKeys() {
        LoadBalancerHarness one = LoadBalancerHarness.withPeers(0, 100).fleet(12);
        LoadBalancerHarness other = LoadBalancerHarness.withPeers(1, 100).fleet(12);
        order(one, 0, 0.5, false, false);
        order(other, 0, 0.5, false, false);
        assertThat(placement(one)).isEqualTo(placement(other));
    }

    @Test
    void aZoneThatIsLeftIsTriedByOneRequestForEachOrder() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        order(rig, 1, 0, true, false);
        assertThat(placement(rig).values().stream().filter(s -> s % 2 == 1).count())
                .isEqualTo(1);
        order(rig, 1, 0, true, false);
        order(rig, 1, 1, false, false);
        order(rig, 1, 0, false, false);
        assertThat(placement(rig).values()).as("what was not used is void").noneMatch(s -> s % 2 == 1);
    }

    /** Its servers were silent when it was left; that is past when the fleet returns. */
    @Test
    void whatWasSeenOfItsServersIsPastWhenTheFleetReturns() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        Map<Integer, Integer> whole = placement(rig);
        for (int key = 1; key <= KEYS; key++) {
            if (whole.get(key) % 2 == 1) {
                rig.read(++id, key * 7919L);
                LoadBalancerHarness.SentAttempt p = rig.last();
                if (p.server() % 2 == 1) {
                    rig.end(p, AttemptOutcome.CONNECT_FAILED, false, 0);
                }
                rig.end(rig.last(), AttemptOutcome.OK);
            }
        }
        order(rig, 1, 0, false, false);
        order(rig, 1, 1, false, true);
        assertThat(placement(rig)).isEqualTo(whole);
    }

    @Test
    void whatPeersFoundSilentIsLeftAloneUnlessItHasAnsweredHere() {
        LoadBalancerHarness rig = LoadBalancerHarness.withPeers(1, 12).fleet(6);
        rig.read(++id, 77);
        LoadBalancerHarness.SentAttempt first = rig.last();
        rig.end(first, AttemptOutcome.OK);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointUnresponsive(first.server()), rig);
        rig.read(++id, 77);
        assertThat(rig.last().server()).as("it has just answered").isEqualTo(first.server());
        rig.end(rig.last(), AttemptOutcome.OK);
        rig.pass(2000);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointUnresponsive(first.server()), rig);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointUnresponsive(LoadBalancerHarness.ORIGIN), rig);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointUnresponsive(4711), rig);
        rig.read(++id, 77);
        assertThat(rig.last().server()).isNotEqualTo(first.server());
        rig.end(rig.last(), AttemptOutcome.OK);
    }
}

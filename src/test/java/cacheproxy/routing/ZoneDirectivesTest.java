package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.PeerMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Zone directives of the fleet. Endpoints with even ids are in zone 0, those with odd ids in zone 1. */
class ZoneDirectivesTest {
    private static final int KEYS = 400;
    private int id;

    private static void direct(
            LoadBalancerHarness harness, int zone, double trafficFraction, boolean probeAllowed, boolean resetHealth) {
        harness.loadBalancer.onZoneDirectives(
                harness.now, List.of(new ZoneDirective(zone, trafficFraction, probeAllowed, resetHealth)), harness);
    }

    private Map<Integer, Integer> placement(LoadBalancerHarness harness) {
        Map<Integer, Integer> at = new HashMap<>();
        for (int key = 1; key <= KEYS; key++) {
            harness.now += 10;
            harness.read(++id, key * 7919L);
            at.put(key, harness.last().server());
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        return at;
    }

    @Test
    void aPartOfAZonesKeysGoesToTheSuccessorAndNoOtherKeyMoves() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        Map<Integer, Integer> full = placement(harness);
        direct(harness, 1, 0.4, false, false);
        Map<Integer, Integer> part = placement(harness);
        direct(harness, 1, 0.2, false, false);
        Map<Integer, Integer> less = placement(harness);
        direct(harness, 1, 0, false, false);
        Map<Integer, Integer> none = placement(harness);
        direct(harness, 1, 1, false, true);
        assertThat(placement(harness)).isEqualTo(full);
        int its = 0;
        int stayed = 0;
        for (int key = 1; key <= KEYS; key++) {
            if (full.get(key) % 2 == 0) {
                assertThat(part.get(key)).isEqualTo(full.get(key));
                assertThat(none.get(key)).isEqualTo(full.get(key));
                continue;
            }
            its++;
            stayed += part.get(key).equals(full.get(key)) ? 1 : 0;
            assertThat(none.get(key) % 2).isZero();
            if (!part.get(key).equals(full.get(key))) {
                assertThat(part.get(key))
                        .as("moves once")
                        .isEqualTo(none.get(key))
                        .isEqualTo(less.get(key));
            }
        }
        assertThat((double) stayed / its).isBetween(0.32, 0.48);
    }

    @Test
    void allInstancesDivertTheSameKeys() {
        LoadBalancerHarness one = LoadBalancerHarness.withPeers(0, 100).fleet(12);
        LoadBalancerHarness other = LoadBalancerHarness.withPeers(1, 100).fleet(12);
        direct(one, 0, 0.5, false, false);
        direct(other, 0, 0.5, false, false);
        assertThat(placement(one)).isEqualTo(placement(other));
    }

    @Test
    void aZoneWithNoTrafficIsProbedByOneRequestForEachDirective() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        direct(harness, 1, 0, true, false);
        assertThat(placement(harness).values().stream().filter(s -> s % 2 == 1).count())
                .isEqualTo(1);
        direct(harness, 1, 0, true, false);
        direct(harness, 1, 1, false, false);
        direct(harness, 1, 0, false, false);
        assertThat(placement(harness).values())
                .as("an unused probe permission expires")
                .noneMatch(s -> s % 2 == 1);
    }

    /** Failures from before the diversion of a zone's traffic must not affect it when the traffic returns. */
    @Test
    void resetHealthForgetsWhatWasSeenOfTheZonesEndpoints() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        Map<Integer, Integer> full = placement(harness);
        for (int key = 1; key <= KEYS; key++) {
            if (full.get(key) % 2 == 1) {
                harness.read(++id, key * 7919L);
                LoadBalancerHarness.SentAttempt p = harness.last();
                if (p.server() % 2 == 1) {
                    harness.end(p, AttemptOutcome.CONNECT_FAILED, false, 0);
                }
                harness.end(harness.last(), AttemptOutcome.OK);
            }
        }
        direct(harness, 1, 0, false, false);
        direct(harness, 1, 1, false, true);
        assertThat(placement(harness)).isEqualTo(full);
    }

    @Test
    void anOutlierThatPeersReportIsEjectedUnlessItHasAnsweredHere() {
        LoadBalancerHarness harness = LoadBalancerHarness.withPeers(1, 12).fleet(6);
        harness.read(++id, 77);
        LoadBalancerHarness.SentAttempt first = harness.last();
        harness.end(first, AttemptOutcome.OK);
        harness.loadBalancer.onPeerMessage(harness.now, 0, PeerMessage.endpointUnresponsive(first.server()), harness);
        harness.read(++id, 77);
        assertThat(harness.last().server()).as("it responded recently").isEqualTo(first.server());
        harness.end(harness.last(), AttemptOutcome.OK);
        harness.pass(2000);
        harness.loadBalancer.onPeerMessage(harness.now, 0, PeerMessage.endpointUnresponsive(first.server()), harness);
        harness.loadBalancer.onPeerMessage(
                harness.now, 0, PeerMessage.endpointUnresponsive(LoadBalancerHarness.ORIGIN), harness);
        harness.loadBalancer.onPeerMessage(harness.now, 0, PeerMessage.endpointUnresponsive(4711), harness);
        harness.read(++id, 77);
        assertThat(harness.last().server()).isNotEqualTo(first.server());
        harness.end(harness.last(), AttemptOutcome.OK);
    }
}

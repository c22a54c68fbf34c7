package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.PeerMessage;
import org.junit.jupiter.api.Test;

/** Endpoints that take no further connection, and what peers are notified of. */
class ConnectionCapacityTest {
    /** Fewer connections than proxies: an instance without one uses the successor, and tries again later and later. */
    @Test
    void anEndpointAtItsConnectionLimitIsNoFailureAndIsUsedAgainLater() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(6);
        harness.read(1, 77);
        LoadBalancerHarness.SentAttempt first = harness.last();
        harness.end(first, AttemptOutcome.CONNECTION_LIMIT);
        int runnerUp = harness.last().server();
        assertThat(runnerUp).isNotEqualTo(first.server());
        harness.end(harness.last(), AttemptOutcome.OK);
        assertThat(harness.loadBalancer.isAvoided(harness.now, first.server())).isFalse();
        harness.read(2, 77);
        assertThat(harness.last().server()).isEqualTo(runnerUp);
        harness.end(harness.last(), AttemptOutcome.OK);
        harness.pass(2000);
        harness.read(3, 77);
        assertThat(harness.last().server()).isEqualTo(first.server());
        harness.end(harness.last(), AttemptOutcome.OK);
        harness.read(4, 77);
        assertThat(harness.last().server()).isEqualTo(first.server());
    }

    /**
     * What one instance finds out costs an attempt; the others are notified, and leave the endpoint alone without one.
     */
    @Test
    void peersAreNotifiedOfAnEndpointAtItsConnectionLimitAndUseItsSuccessor() {
        LoadBalancerHarness one = LoadBalancerHarness.withPeers(0, 100).fleet(6);
        one.read(1, 77);
        int top = one.last().server();
        one.end(one.last(), AttemptOutcome.CONNECTION_LIMIT);
        assertThat(one.peerMessages).hasSize(1);

        LoadBalancerHarness other = LoadBalancerHarness.withPeers(1, 100).fleet(6);
        other.loadBalancer.onPeerMessage(other.now, 0, one.peerMessages.get(0), other);
        other.read(1, 77);
        assertThat(other.last().server()).isNotEqualTo(top);
        other.end(other.last(), AttemptOutcome.OK);
        other.pass(4900); // half of what 100 instances wait at least
        other.read(2, 77);
        assertThat(other.last().server()).isNotEqualTo(top);
        other.end(other.last(), AttemptOutcome.OK);
        other.pass(11_000);
        other.read(3, 77);
        assertThat(other.last().server()).isEqualTo(top);
        other.end(other.last(), AttemptOutcome.CONNECTION_LIMIT);
        assertThat(other.peerMessages).hasSize(1);
    }

    /** A peer that is wrong, or lies, costs nobody a connection; nor does a message that can't be read. */
    @Test
    void anInstanceWithAConnectionKeepsItWhateverPeersReport() {
        LoadBalancerHarness harness = LoadBalancerHarness.withPeers(1, 100).fleet(6);
        harness.read(1, 77);
        LoadBalancerHarness.SentAttempt first = harness.last();
        harness.end(first, AttemptOutcome.OK);
        harness.loadBalancer.onPeerMessage(harness.now, 0, PeerMessage.endpointFull(first.server()), harness);
        harness.loadBalancer.onPeerMessage(harness.now, 0, PeerMessage.endpointFull(12345), harness);
        harness.loadBalancer.onPeerMessage(
                harness.now, 0, PeerMessage.endpointFull(LoadBalancerHarness.ORIGIN), harness);
        harness.loadBalancer.onPeerMessage(harness.now, 0, new byte[] {'F', 1}, harness);
        harness.loadBalancer.onPeerMessage(harness.now, 0, new byte[0], harness);
        harness.read(2, 77);
        assertThat(harness.last().server()).isEqualTo(first.server());
        harness.end(harness.last(), AttemptOutcome.MISS);
        assertThat(harness.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
    }

    /** Two that find it out at once notify once: the one that was notified meanwhile sends nothing. */
    @Test
    void anInstanceNotifiedMeanwhileNotifiesNobody() {
        LoadBalancerHarness harness = LoadBalancerHarness.withPeers(1, 100).fleet(6);
        harness.read(1, 77);
        LoadBalancerHarness.SentAttempt first = harness.last();
        harness.loadBalancer.onPeerMessage(harness.now, 0, PeerMessage.endpointFull(first.server()), harness);
        harness.end(first, AttemptOutcome.CONNECTION_LIMIT);
        assertThat(harness.peerMessages).isEmpty();
    }
}

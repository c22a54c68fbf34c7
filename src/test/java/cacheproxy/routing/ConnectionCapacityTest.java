package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.PeerMessage;
import org.junit.jupiter.api.Test;

/** Endpoints at their connection limit, and the notification of peers. */
class ConnectionCapacityTest {
    /**
     * An endpoint accepts fewer connections than there are proxies: an instance without one uses the successor and
     * retries with backoff.
     */
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
     * One instance detects the connection limit at the cost of an attempt; notified peers avoid the endpoint without
     * one.
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
        other.pass(4900); // the shortest delay with 100 instances is 5000 ms
        other.read(2, 77);
        assertThat(other.last().server()).isNotEqualTo(top);
        other.end(other.last(), AttemptOutcome.OK);
        other.pass(11_000);
        other.read(3, 77);
        assertThat(other.last().server()).isEqualTo(top);
        other.end(other.last(), AttemptOutcome.CONNECTION_LIMIT);
        assertThat(other.peerMessages).hasSize(1);
    }

    /** False reports of a peer and malformed messages don't affect an instance that has a connection. */
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

    /** If two instances detect the limit at the same time, the one notified during its attempt sends no message. */
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

package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The learned state that a successor restores from its predecessor. */
class LearnedStateTransferTest {
    /** A successor avoids an endpoint that its predecessor ejected, and probes it when that ejection expires. */
    @Test
    void aSuccessorKnowsWhichEndpointsHaveFailed() {
        LoadBalancerHarness old = LoadBalancerHarness.cacheAside().fleet(12);
        old.read(1, 77);
        int top = old.last().server();
        old.end(old.last(), AttemptOutcome.CONNECT_FAILED);
        int successorOfTop = old.last().server();
        LoadBalancerHarness next = LoadBalancerHarness.cacheAside().fleet(12);
        next.loadBalancer.restore(next.now, old.loadBalancer.learnedState(old.now));
        next.read(1, 77);
        assertThat(next.last().server()).isEqualTo(successorOfTop);
        assertThat(next.loadBalancer.isAvoided(next.now, top)).isTrue();
        next.pass(20_000);
        next.read(2, 77);
        assertThat(next.healthChecked).as("the restored ejection has expired").contains(top);
    }

    @Test
    void whatIsKnownOfAnEndpointThatHasStartedSinceIsForgotten() {
        LoadBalancerHarness old = LoadBalancerHarness.cacheAside().fleet(12);
        old.read(1, 77);
        int top = old.last().server();
        old.end(old.last(), AttemptOutcome.CONNECT_FAILED);
        LoadBalancerHarness next = LoadBalancerHarness.cacheAside().fleet(12);
        next.change(LoadBalancerHarness.endpoint(top, EndpointState.READY, -20_000));
        next.loadBalancer.restore(next.now, old.loadBalancer.learnedState(old.now));
        next.read(1, 77);
        assertThat(next.last().server()).isEqualTo(top);
    }

    /** A successor spreads hot keys from the start, and throttles the origin as its predecessor did. */
    @Test
    void aSuccessorKnowsHotKeysAndTheOriginsLoad() {
        LoadBalancerHarness old = LoadBalancerHarness.cacheAside().fleet(12);
        for (int i = 1; i <= 200; i++) {
            old.read(i, i % 2 == 0 ? 77 : 1000 + i);
        }
        LoadBalancerHarness next = LoadBalancerHarness.cacheAside().fleet(12);
        next.loadBalancer.restore(next.now, old.loadBalancer.learnedState(old.now));
        Set<Integer> servers = new HashSet<>();
        for (int i = 1; i <= 5; i++) { // fewer requests than make a key hot without restored state
            next.read(i, 77);
            servers.add(next.last().server());
        }
        assertThat(servers).hasSizeGreaterThan(1);
        LearnedState predecessor = old.loadBalancer.learnedState(old.now).get("");
        LearnedState successor = next.loadBalancer.learnedState(next.now).get("");
        assertThat(successor.originLoad()).isEqualTo(predecessor.originLoad());
        assertThat(successor.originFetchMs()).isEqualTo(predecessor.originFetchMs());
    }
}

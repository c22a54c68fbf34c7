package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When discovery is called for the endpoint list. */
class EndpointListWatchTest {
    /** The instances of a fleet must not call discovery, which is small, together, nor at once after a failure. */
    @Test
    void theListIsCalledForOnceWithDelay() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, true, false, DeduplicationScope.ALL))
                .fleet(5);
        assertThat(harness.watches).isZero();
        harness.pass(5000);
        assertThat(harness.watches).isEqualTo(1);
        harness.loadBalancer.onEndpointUpdate(harness.now, EndpointUpdateKind.FAILED, List.of(), harness);
        assertThat(harness.watches).isEqualTo(1);
        harness.pass(5000);
        assertThat(harness.watches).isEqualTo(2);
        harness.change();
        harness.pass(60000);
        assertThat(harness.watches).isEqualTo(2);
    }

    /** A change counts as known 6 s after discovery had it and could be reached; a silent call takes 3.4 s of that. */
    @Test
    void howeverOftenCallsFailTheNextIsMadeWithinHalfOfTheTime() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, true, false, DeduplicationScope.ALL))
                .fleet(5);
        harness.pass(3000);
        assertThat(harness.watches).isEqualTo(1);
        for (int failures = 1; failures < 50; failures++) {
            harness.loadBalancer.onEndpointUpdate(harness.now, EndpointUpdateKind.FAILED, List.of(), harness);
            harness.pass(3000);
            assertThat(harness.watches).isEqualTo(1 + failures);
        }
    }
}

package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The times of discovery calls for the endpoint list. */
class EndpointListWatchTest {
    /** Discovery has little capacity: a fleet must not call it all at once, nor immediately after a failure. */
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

    /**
     * A change must be in use 6 s after discovery had it and could be reached; a call without a response takes 3.4 s of
     * that.
     */
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

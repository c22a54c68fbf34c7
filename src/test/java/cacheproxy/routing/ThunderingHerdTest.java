package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A thundering herd: 48 instances with the same seed that a release starts at once, and a discovery of low capacity.
 */
class ThunderingHerdTest {
    private static final int INSTANCES = 48;
    private static final double STEP_MS = 10;

    private final List<LoadBalancerHarness> harnesses = new ArrayList<>();
    private final List<Endpoint> list = List.of(
            LoadBalancerHarness.endpoint(LoadBalancerHarness.ORIGIN, EndpointState.READY, 0),
            LoadBalancerHarness.endpoint(1, EndpointState.READY, 0),
            LoadBalancerHarness.endpoint(2, EndpointState.READY, 0));
    /** The number of discovery calls of all instances in each step. */
    private final List<Integer> calls = new ArrayList<>();

    private final int[] answered = new int[INSTANCES];

    ThunderingHerdTest() {
        RoutingSettings settings = LoadBalancerHarness.settings(true, true, false, DeduplicationScope.ALL);
        for (int me = 0; me < INSTANCES; me++) {
            LoadBalancerHarness harness =
                    new LoadBalancerHarness(LoadBalancerHarness.atInstance(settings, me, INSTANCES));
            harness.loadBalancer.onEndpointUpdate(harness.now, EndpointUpdateKind.CACHED, list, harness);
            harnesses.add(harness);
        }
    }

    /** Advances the clocks; discovery serves this many calls per second and rejects the others. */
    private void pass(double ms, double perSecond) {
        double tokens = 0;
        for (double at = 0; at < ms; at += STEP_MS) {
            tokens = Math.min(perSecond, tokens + perSecond * STEP_MS / 1000);
            int now = 0;
            for (int i = 0; i < INSTANCES; i++) {
                LoadBalancerHarness harness = harnesses.get(i);
                int before = harness.watches;
                harness.pass(STEP_MS);
                if (harness.watches > before) {
                    now++;
                    boolean served = tokens >= 1;
                    tokens -= served ? 1 : 0;
                    answered[i] += served ? 1 : 0;
                    harness.loadBalancer.onEndpointUpdate(
                            harness.now,
                            served ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.FAILED,
                            served ? list : List.of(),
                            harness);
                }
            }
            calls.add(now);
        }
    }

    private int most(int steps) {
        int most = 0;
        for (int i = 0; i + steps <= calls.size(); i++) {
            most = Math.max(
                    most, calls.subList(i, i + steps).stream().mapToInt(c -> c).sum());
        }
        return most;
    }

    @Test
    void theFirstCallsAreSpread() {
        pass(6000, 1000);
        assertThat(calls.stream().mapToInt(c -> c).sum())
                .as("one call per instance")
                .isEqualTo(INSTANCES);
        assertThat(most(1)).as("in 10 ms").isLessThanOrEqualTo(6);
        assertThat(most(20)).as("in 200 ms").isLessThanOrEqualTo(INSTANCES / 4);
    }

    /**
     * Instances whose calls are rejected back off with jitter (without it all 48 would call at once), and serve
     * requests with the cached list meanwhile.
     */
    @Test
    void rejectedCallsBackOffAndNotInStep() {
        pass(3000, 0);
        int early = calls.stream().mapToInt(c -> c).sum();
        pass(27_000, 0);
        calls.clear();
        pass(30_000, 0);
        int late = calls.stream().mapToInt(c -> c).sum();
        assertThat(late / 30.0).as("calls per second, all instances").isBetween(1.0, early / 3.0);
        assertThat(most(20)).as("in 200 ms, of " + late + " in half a minute").isLessThanOrEqualTo(INSTANCES / 4);
        for (LoadBalancerHarness harness : harnesses) {
            harness.read(1, 77);
            assertThat(harness.last().server()).isIn(1, 2);
        }
        pass(30_000, 2);
        assertThat(answered)
                .as("calls served per instance once discovery serves two calls per second")
                .doesNotContain(0);
    }
}

package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A thundering herd: 48 instances that a release starts in one moment, with one seed, before a small discovery. */
class ThunderingHerdTest {
    private static final int INSTANCES = 48;
    private static final double STEP_MS = 10;

    private final List<LoadBalancerHarness> harnesses = new ArrayList<>();
    private final List<Endpoint> list = List.of(
            LoadBalancerHarness.endpoint(LoadBalancerHarness.ORIGIN, EndpointState.READY, 0),
            LoadBalancerHarness.endpoint(1, EndpointState.READY, 0),
            LoadBalancerHarness.endpoint(2, EndpointState.READY, 0));
    /** Calls of all instances, step by step. */
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

    /** Lets time pass; discovery answers so many calls a second and rejects the others. */
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
        assertThat(calls.stream().mapToInt(c -> c).sum()).as("one each").isEqualTo(INSTANCES);
        assertThat(most(1)).as("in 10 ms").isLessThanOrEqualTo(6);
        assertThat(most(20)).as("in 200 ms").isLessThanOrEqualTo(INSTANCES / 4);
    }

    /**
     * Rejected ones come back later and later (in step it would be all 48 at once), apart from one another, and serve
     * by the list they have.
     */
    @Test
    void rejectedCallsBackOffAndNotInStep() {
        pass(3000, 0);
        int early = calls.stream().mapToInt(c -> c).sum();
        pass(27_000, 0);
        calls.clear();
        pass(30_000, 0);
        int late = calls.stream().mapToInt(c -> c).sum();
        assertThat(late / 30.0).as("calls a second of all").isBetween(1.0, early / 3.0);
        assertThat(most(20)).as("in 200 ms, of " + late + " in half a minute").isLessThanOrEqualTo(INSTANCES / 4);
        for (LoadBalancerHarness harness : harnesses) {
            harness.read(1, 77);
            assertThat(harness.last().server()).isIn(1, 2);
        }
        pass(30_000, 2);
        assertThat(answered)
                .as("all have the list once discovery takes two calls a second")
                .doesNotContain(0);
    }
}

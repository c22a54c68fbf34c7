package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** An endpoint in warm-up gets no more load than its present capacity. */
class SlowStartTest {
    /** An endpoint gets 0.3 of its keys at its start, 0.65 after half of its warm-up, and all keys afterwards. */
    @Test
    void aColdEndpointTakesNoMoreThanItsRamp() {
        assertThat(taken(0, AttemptOutcome.OK)).isBetween(0.23, 0.37);
        assertThat(taken(4000, AttemptOutcome.OK)).isBetween(0.57, 0.73);
        assertThat(taken(8000, AttemptOutcome.OK)).isEqualTo(1.0);
    }

    /** The fraction of its own keys that endpoint 5 gets at this age. */
    private static double taken(double age, AttemptOutcome outcome) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        harness.now = 100000;
        harness.change(LoadBalancerHarness.endpoint(5, EndpointState.READY, harness.now - age));
        int own = 0;
        int got = 0;
        for (int key = 1; key <= 4000; key++) {
            if (LoadBalancerHarness.topRank(key, 12) == 5) {
                own++;
                harness.read(key, key);
                got += harness.last().server() == 5 ? 1 : 0;
                harness.end(harness.last(), outcome);
            }
        }
        return (double) got / own;
    }

    /**
     * Guards against overload of the remaining warm endpoints when most of a fleet is replaced, which occurred when new
     * endpoints were given only half of their admitted fraction.
     */
    @Test
    void coldEndpointsTakeTheirCapacityAndLessWhereOthersAreMissing() {
        assertThat(partAtColdEndpoints(20)).isBetween(0.24, 0.34);
        assertThat(partAtColdEndpoints(10)).isBetween(0.015, 0.05);
    }

    /**
     * The fraction of requests that new endpoints get when twelve of twenty endpoints are removed and new ones join, up
     * to this number of endpoints in all.
     */
    private static double partAtColdEndpoints(int inAll) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(20);
        harness.now += 100_000;
        for (int id = 9; id <= 20; id++) {
            harness.change(LoadBalancerHarness.endpoint(id, EndpointState.REMOVED, 0));
        }
        for (int id = 21; id <= 12 + inAll; id++) {
            harness.change(LoadBalancerHarness.endpoint(id, EndpointState.READY, harness.now));
        }
        int cold = 0;
        for (int id = 1; id <= 2000; id++) {
            harness.read(id, 1000 + id);
            cold += harness.last().server() > 20 ? 1 : 0;
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        return cold / 2000.0;
    }

    /** Guards against overload by retries of a zone whose endpoints return from a failure without warm caches. */
    @Test
    void retriesKeepOffAColdEndpoint() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(3);
        harness.change(
                LoadBalancerHarness.endpoint(2, EndpointState.READY, harness.now),
                LoadBalancerHarness.endpoint(3, EndpointState.READY, harness.now));
        for (int id = 1; id <= 200; id++) {
            harness.read(id, id);
            LoadBalancerHarness.SentAttempt p = harness.last();
            if (p.server() == 1) {
                harness.end(p, AttemptOutcome.REJECTED);
                assertThat(harness.last().server()).isNotIn(2, 3);
            }
            harness.end(harness.last(), AttemptOutcome.OK);
        }
    }

    /** Guards against overload of cold endpoints by clients that retry at other instances under overload. */
    @Test
    void clientRetriesKeepOffAColdEndpoint() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(3);
        harness.change(
                LoadBalancerHarness.endpoint(2, EndpointState.READY, harness.now),
                LoadBalancerHarness.endpoint(3, EndpointState.READY, harness.now));
        int cold = 0;
        for (int id = 1; id <= 400; id++) {
            if (id % 2 == 0) {
                harness.read(id, id);
                cold += harness.last().server() == 1 ? 0 : 1;
            } else {
                harness.clientRetry(id, id);
                assertThat(harness.last().server())
                        .as("request %d, a client retry", id)
                        .isEqualTo(1);
            }
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        assertThat(cold).as("first attempts at cold endpoints").isBetween(50, 110);
    }

    /** After half of its warm-up an endpoint gets 0.65 of its keys, but less if the fleet is overloaded. */
    @Test
    void aColdEndpointTakesLessOfAnOverloadedFleet() {
        assertThat(takenAt(0.3)).isBetween(0.57, 0.73);
        assertThat(takenAt(1.0)).isBetween(0.5, 0.73);
        assertThat(takenAt(2.5))
                .as("overload multiple 3 x initial capacity 0.3 / offered load 2.5")
                .isBetween(0.28, 0.44);
    }

    /** The fraction of its own keys that endpoint 5 gets after half of its warm-up, at this load on the fleet. */
    private static double takenAt(double load) {
        int servers = 12;
        int instances = 4;
        double workMs = 40;
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(servers);
        harness.now = 100_000;
        double everyMs = workMs * instances / servers / load;
        int own = 0;
        int got = 0;
        int id = 0;
        for (long key = 1; own < 300; key++) {
            if (LoadBalancerHarness.topRank(key, servers) != 5) {
                continue;
            }
            boolean counts = harness.now > 105_000;
            harness.now += everyMs;
            harness.change(LoadBalancerHarness.endpoint(5, EndpointState.READY, harness.now - 4000));
            harness.read(++id, key);
            own += counts ? 1 : 0;
            got += counts && harness.last().server() == 5 ? 1 : 0;
            harness.endAfter(harness.last(), AttemptOutcome.OK, workMs);
        }
        return (double) got / own;
    }
}

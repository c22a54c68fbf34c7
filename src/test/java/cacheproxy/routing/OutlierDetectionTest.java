package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Ejection of slow, hung and unreachable endpoints, and of zones in which all endpoints are unresponsive. */
class OutlierDetectionTest {
    /**
     * An endpoint accepts requests but does not respond: the successor gets a hedge while the origin can still respond
     * within the latency objective.
     */
    @Test
    void aHungEndpointIsPassedOverInTime() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        harness.read(1, 7);
        LoadBalancerHarness.SentAttempt hung = harness.last();
        harness.pass(200);
        assertThat(harness.cancelled).containsExactly("1/0");
        harness.end(hung, AttemptOutcome.CANCELLED);
        assertThat(harness.last().server()).isNotIn(hung.server(), LoadBalancerHarness.ORIGIN);
    }

    /** Guards against hedges that add to an overload: when all endpoints are slow, the budget allows few hedges. */
    @Test
    void aSharedSlowdownIsNotHedgedIntoAnOverload() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(12);
        for (int id = 1; id <= 200; id++) {
            harness.now += 1;
            harness.read(id, id);
        }
        harness.pass(400);
        assertThat(harness.sent).hasSizeLessThan(200 + 10);
    }

    /**
     * Three unresponsive endpoints open the breaker of their zone, so that not every endpoint of an unreachable zone
     * costs a read. A response from one of them closes it.
     */
    @Test
    void aZoneWhoseEndpointsAllFallSilentIsEjected() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(40);
        Set<Integer> asked = new HashSet<>();
        int atCut = 0;
        for (int id = 1; id <= 60; id++) {
            harness.now += 5;
            harness.read(id, id);
            LoadBalancerHarness.SentAttempt p = harness.last();
            if (p.server() % 2 == 1) { // zone 1 can't be reached
                atCut++;
                asked.add(p.server());
                harness.end(p, AttemptOutcome.CONNECT_FAILED);
            }
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        assertThat(atCut).as("reads that went to the zone within 0.3 s").isEqualTo(3);
        assertThat(asked).as("endpoints of the zone that got a read").hasSize(3);
        harness.pass(1100);
        int again = 0;
        for (int id = 100; id <= 160; id++) {
            harness.now += 1;
            harness.read(id, id);
            again += harness.last().server() % 2;
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        assertThat(again)
                .as("reads at the zone after the open time and a response")
                .isGreaterThan(10);
    }

    /**
     * Several attempts failed by one endpoint, or reset after malformed responses, are no evidence against its zone.
     */
    @ParameterizedTest
    @EnumSource(names = {"CONNECT_FAILED", "RESET"})
    void manyFailuresOfOneEndpointDoNotEjectItsZone(AttemptOutcome outcome) {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(40);
        List<LoadBalancerHarness.SentAttempt> at = new ArrayList<>();
        for (int id = 1; id <= 6; id++) {
            harness.read(id, 7); // all at one endpoint
            at.add(harness.last());
        }
        int bad = at.get(0).server();
        at.stream().filter(p -> p.server() == bad).forEach(p -> harness.end(p, outcome));
        int there = 0;
        for (int id = 100; id < 160; id++) {
            harness.read(id, id);
            there += harness.last().server() % 2 == bad % 2 ? 1 : 0;
        }
        assertThat(there).as("reads at the zone's other endpoints").isGreaterThan(15);
    }

    /** Four failing endpoints do not open the breaker of a zone in which other endpoints respond. */
    @Test
    void aZoneInWhichOthersAnswerIsNotEjected() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(40);
        int sound = 0;
        for (int id = 1; id <= 200; id++) {
            harness.now += 5;
            harness.read(id, id);
            LoadBalancerHarness.SentAttempt p = harness.last();
            if (p.server() % 12 == 1) {
                harness.end(p, AttemptOutcome.CONNECT_FAILED);
            } else {
                sound += p.server() % 2;
            }
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        assertThat(sound).as("reads at the zone's other endpoints").isGreaterThan(40);
    }

    /** An ejected endpoint returns to service by a health check, not at the cost of a client's request. */
    @Test
    void anEjectedEndpointIsCheckedBeforeItGetsRequests() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(3);
        long key = 1;
        while (LoadBalancerHarness.topRank(key, 3) != 2) {
            key++;
        }
        harness.read(1, key);
        harness.end(harness.last(), AttemptOutcome.CONNECT_FAILED);
        harness.end(harness.last(), AttemptOutcome.OK);
        harness.now += 1100;
        harness.read(2, key);
        assertThat(harness.last().server()).isNotEqualTo(2);
        assertThat(harness.healthChecked).containsExactly(2);
        harness.loadBalancer.onHealthCheckResult(harness.now, 2, AttemptOutcome.OK, 3, null, harness);
        harness.read(3, key);
        assertThat(harness.last().server()).isEqualTo(2);
    }
}

package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** CARP routing, the rules of final answers, duplicate execution and drains, hot keys, and invalid arguments. */
class CarpLoadBalancerTest {
    // ---- CARP routing

    @Test
    void aKeyGoesToTheTopScoreAndAMissToTheOrigin() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        harness.read(1, 77);
        int top = LoadBalancerHarness.topRank(77, 12);
        assertThat(harness.last().server()).isEqualTo(top);
        harness.end(harness.last(), AttemptOutcome.MISS);
        assertThat(harness.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
        harness.end(harness.last(), AttemptOutcome.OK);
        assertThat(harness.answers()).isZero();
    }

    @Test
    void listOrderDoesNotMatter() {
        LoadBalancerHarness up = LoadBalancerHarness.cacheAside().fleet(30);
        LoadBalancerHarness down = LoadBalancerHarness.cacheAside();
        List<Endpoint> list = new ArrayList<>();
        for (int id = 30; id >= 1; id--) {
            list.add(LoadBalancerHarness.endpoint(id, EndpointState.READY, 0));
        }
        down.loadBalancer.onEndpointUpdate(down.now, EndpointUpdateKind.SNAPSHOT, list, down);
        for (int k = 1; k < 200; k++) {
            up.read(k, k);
            down.read(k, k);
            assertThat(down.last().server()).isEqualTo(up.last().server());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"CONNECT_FAILED", "RESET"})
    void theSuccessorTakesFailedAndResetConnections(AttemptOutcome outcome) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        harness.read(1, 77);
        int top = harness.last().server();
        harness.end(harness.last(), outcome);
        int successor = harness.last().server();
        assertThat(successor).isNotIn(top, LoadBalancerHarness.ORIGIN);
        harness.read(2, 77);
        if (outcome == AttemptOutcome.RESET) {
            assertThat(harness.last().server())
                    .as("one reset connection does not eject the endpoint")
                    .isEqualTo(top);
            harness.end(harness.last(), outcome);
            assertThat(harness.last().server()).isEqualTo(successor);
            harness.read(3, 77);
        }
        assertThat(harness.last().server())
                .as("the successor serves the key while its endpoint is ejected")
                .isEqualTo(successor);
    }

    @Test
    void withCacheAsideWritesGoToTheOrigin() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        harness.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(harness.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
    }

    @Test
    void withoutCacheAsideWritesGoByRank() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(false, false, false, DeduplicationScope.ALL))
                .fleet(5);
        harness.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(harness.last().server()).isEqualTo(LoadBalancerHarness.topRank(7, 5));
    }

    @Test
    void keylessRequestsAreRankedByTheirId() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        Set<Integer> used = new HashSet<>();
        for (int id = 1; id <= 100; id++) {
            harness.read(id, 0);
            used.add(harness.last().server());
        }
        assertThat(used).hasSizeGreaterThan(8);
    }

    // ---- rule 1: one final answer, by the deadline

    @ParameterizedTest
    @ValueSource(ints = {LoadBalancerHarness.IDEMPOTENT, LoadBalancerHarness.KEYED, LoadBalancerHarness.NON_IDEMPOTENT})
    void aSilentEndpointStillLeavesOneAnswerAtTheDeadline(int serviceClass) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        harness.loadBalancer.onRequest(
                harness.now,
                new Request(
                        1,
                        serviceClass,
                        0,
                        7,
                        harness.now + 1000,
                        Double.NaN,
                        0,
                        serviceClass != LoadBalancerHarness.IDEMPOTENT,
                        false),
                harness);
        harness.pass(999);
        assertThat(harness.answers()).isZero();
        harness.pass(1);
        assertThat(harness.answers()).isEqualTo(1);
        int sent = harness.sent.size();
        harness.pass(5000);
        assertThat(harness.answers()).isEqualTo(1);
        assertThat(harness.sent).hasSize(sent);
    }

    @Test
    void lateAndRepeatedEventsOfAFinishedRequestChangeNothing() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        harness.read(1, 7);
        LoadBalancerHarness.SentAttempt first = harness.last();
        harness.loadBalancer.onClientDisconnected(harness.now, 1, harness);
        int orders = harness.orders.size();
        harness.loadBalancer.onClientDisconnected(harness.now, 1, harness);
        harness.end(first, AttemptOutcome.TIMEOUT, true, 0);
        harness.end(first, AttemptOutcome.TIMEOUT, true, 0);
        harness.loadBalancer.onTimer(harness.now, 123456, harness);
        harness.pass(3000);
        assertThat(harness.orders).hasSize(orders);
    }

    @Test
    void anEmptyListIsAnsweredAtOnce() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside();
        harness.loadBalancer.onEndpointUpdate(harness.now, EndpointUpdateKind.CACHED, List.of(), harness);
        harness.read(1, 7);
        harness.write(2, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(harness.rejected).containsExactly(1, 2);
    }

    @Test
    void zeroWeightsShareEqually() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside();
        harness.loadBalancer.onEndpointUpdate(
                harness.now,
                EndpointUpdateKind.SNAPSHOT,
                List.of(
                        new Endpoint(1, 0, 0, 0, EndpointState.READY, 0, 0),
                        new Endpoint(2, 0, 0, 0, EndpointState.READY, 0, 0)),
                harness);
        Set<Integer> used = new HashSet<>();
        for (int id = 1; id <= 40; id++) {
            harness.read(id, id);
            used.add(harness.last().server());
        }
        assertThat(used).containsExactlyInAnyOrder(1, 2);
    }

    // ---- rule 2: no duplicate execution

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void aNonIdempotentRequestThatMayHaveRunFailsAndIsNotRetried(AttemptOutcome outcome) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        harness.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        harness.end(harness.last(), outcome);
        harness.pass(2000);
        assertThat(harness.sent).hasSize(1);
        assertThat(harness.failed).containsExactly(1);
        assertThat(harness.rejected).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"REJECTED", "CONNECT_FAILED"})
    void aNonIdempotentRequestKnownNotToHaveRunIsRetried(AttemptOutcome outcome) {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        harness.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        harness.end(harness.last(), outcome);
        harness.pass(500);
        assertThat(harness.sent).hasSize(2);
    }

    /** The window must still be open when the retry reaches an endpoint, which may need a new connection first. */
    @Test
    void aKeyedRequestIsRetriedOnlyInsideItsDeduplicationWindow() {
        RoutingSettings settings = LoadBalancerHarness.settings(false, false, false, DeduplicationScope.ALL);
        double last =
                settings.classes().get(LoadBalancerHarness.KEYED).deduplicationWindowMs() - settings.connectTimeoutMs();
        assertThat(last).isPositive();
        LoadBalancerHarness inside = new LoadBalancerHarness(settings).fleet(12);
        inside.write(1, LoadBalancerHarness.KEYED);
        inside.now += last - 1;
        inside.end(inside.last(), AttemptOutcome.RESET);
        assertThat(inside.sent).hasSize(2);
        LoadBalancerHarness late = new LoadBalancerHarness(settings).fleet(12);
        late.write(1, LoadBalancerHarness.KEYED);
        late.now += last;
        late.end(late.last(), AttemptOutcome.RESET);
        assertThat(late.sent).hasSize(1);
        assertThat(late.answers()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = DeduplicationScope.class,
            names = {"ZONE", "CELL"})
    void aKeyedRequestStaysInItsDeduplicationScopeAndIsNeverRejected(DeduplicationScope group) {
        for (int key = 1; key < 60; key++) {
            LoadBalancerHarness harness =
                    new LoadBalancerHarness(LoadBalancerHarness.settings(false, false, false, group)).fleet(12);
            harness.loadBalancer.onRequest(
                    harness.now,
                    new Request(1, LoadBalancerHarness.KEYED, 0, key, harness.now + 1000, Double.NaN, 0, true, false),
                    harness);
            int first = harness.last().server();
            harness.end(harness.last(), AttemptOutcome.RESET);
            if (harness.sent.size() > 1) {
                int then = harness.last().server();
                assertThat(group == DeduplicationScope.ZONE ? then % 2 : then / 4)
                        .isEqualTo(group == DeduplicationScope.ZONE ? first % 2 : first / 4);
            } else {
                assertThat(harness.failed).containsExactly(1);
            }
            assertThat(harness.rejected).isEmpty();
        }
    }

    @Test
    void attemptsStayWithinTheLimitAndOneAtATime() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(12);
        harness.read(1, 7);
        for (int i = 0; i < 6 && harness.answers() == 0; i++) {
            harness.end(harness.last(), AttemptOutcome.CONNECT_FAILED);
        }
        assertThat(harness.sent).hasSizeLessThanOrEqualTo(3);
        assertThat(harness.answers()).isEqualTo(1);
    }

    // ---- rule 3: drains

    @Test
    void aDrainingOrRemovedEndpointGetsNothingNewNotEvenAWaitingRetry() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(3);
        harness.change(
                LoadBalancerHarness.endpoint(1, EndpointState.DRAINING, 0),
                LoadBalancerHarness.endpoint(2, EndpointState.REMOVED, 0));
        for (int id = 1; id <= 50; id++) {
            harness.read(id, id);
            assertThat(harness.last().server()).isEqualTo(3);
        }
        harness.read(99, 5);
        harness.change(LoadBalancerHarness.endpoint(LoadBalancerHarness.ORIGIN, EndpointState.DRAINING, 0));
        int sent = harness.sent.size();
        harness.end(harness.last(), AttemptOutcome.MISS);
        assertThat(harness.sent).hasSize(sent);
        assertThat(harness.rejected).containsExactly(99);
    }

    // ---- hot keys and coalesced fetches

    /**
     * A key with much of the traffic is spread over several ranks; once it is no longer hot, one endpoint serves it.
     */
    @Test
    void aHotKeyIsSpreadAndComesBack() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(20);
        Set<Integer> hot = new HashSet<>();
        for (int id = 1; id <= 400; id++) {
            harness.now += 5;
            harness.read(id, id % 4 == 0 ? 7 : id + 1000);
            if (id % 4 == 0 && id > 200) {
                hot.add(harness.last().server());
            }
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        assertThat(hot).hasSizeBetween(5, 12);
        harness.now += 60000;
        Set<Integer> calm = new HashSet<>();
        for (int id = 1001; id <= 1020; id++) {
            harness.now += 3000;
            harness.read(id, 7);
            calm.add(harness.last().server());
            harness.end(harness.last(), AttemptOutcome.OK);
        }
        assertThat(calm).containsExactly(LoadBalancerHarness.topRank(7, 20));
    }

    /**
     * Of concurrent misses for one key only one goes to the origin; the others then read the object from its endpoint.
     */
    @Test
    void oneFetchPerKey() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(5);
        for (int id = 1; id <= 4; id++) {
            harness.read(id, 7);
        }
        for (LoadBalancerHarness.SentAttempt p : List.copyOf(harness.sent)) {
            harness.end(p, AttemptOutcome.MISS);
        }
        assertThat(harness.sent.stream().filter(p -> p.server() == LoadBalancerHarness.ORIGIN))
                .hasSize(1);
        harness.end(harness.last(), AttemptOutcome.OK);
        assertThat(harness.sent).hasSize(8);
        assertThat(harness.last().server()).isEqualTo(LoadBalancerHarness.topRank(7, 5));
    }

    // ---- invalid arguments

    @Test
    void invalidArgumentsAreNamed() {
        LoadBalancerHarness harness = LoadBalancerHarness.cacheAside().fleet(3);
        assertThatThrownBy(() -> harness.change(
                        LoadBalancerHarness.endpoint(1, EndpointState.READY, 0),
                        LoadBalancerHarness.endpoint(1, EndpointState.READY, 0)))
                .hasMessageContaining("endpoint 1 is listed twice");
        assertThatThrownBy(() -> harness.change(new Endpoint(8, 0, 0, 0, EndpointState.READY, Float.NaN, 0)))
                .hasMessageContaining("endpoint 8 has invalid weight NaN");
        assertThatThrownBy(() -> harness.change(new Endpoint(8, 5, 0, 0, EndpointState.READY, 1, 0)))
                .hasMessageContaining("endpoint 8 has zone 5");
        assertThatThrownBy(() -> harness.loadBalancer.onRequest(
                        harness.now, new Request(1, 9, 0, 1, harness.now + 10, 1, 0, false, false), harness))
                .hasMessageContaining("service class 9");
        assertThatThrownBy(() -> harness.loadBalancer.onRequest(
                        harness.now, new Request(1, 0, 3, 1, harness.now + 10, 1, 0, false, false), harness))
                .hasMessageContaining("tenant 3");
    }
}

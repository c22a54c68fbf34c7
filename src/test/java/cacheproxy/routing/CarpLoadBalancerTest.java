package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.gossip.PeerMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class CarpLoadBalancerTest {
    // ---- CARP's path

    @Test
    void aKeyGoesToTheTopScoreAndAMissToTheOrigin() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        rig.read(1, 77);
        int top = topRank(77, 12);
        assertThat(rig.last().server()).isEqualTo(top);
        rig.end(rig.last(), AttemptOutcome.MISS);
        assertThat(rig.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
        rig.end(rig.last(), AttemptOutcome.OK);
        assertThat(rig.answers()).isZero();
    }

    private static int topRank(long key, int n) {
        int best = 0;
        double bestScore = -1;
        for (int id = 1; id <= n; id++) {
            double score = CarpHash.score(CarpHash.keyHash(key), CarpHash.endpointHash(id), 1);
            if (score > bestScore) {
                best = id;
                bestScore = score;
            }
        }
        return best;
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
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        rig.read(1, 77);
        int top = rig.last().server();
        rig.end(rig.last(), outcome);
        int runnerUp = rig.last().server();
        assertThat(runnerUp).isNotIn(top, LoadBalancerHarness.ORIGIN);
        rig.read(2, 77);
        if (outcome == AttemptOutcome.RESET) {
            assertThat(rig.last().server())
                    .as("one broken connection is no evidence")
                    .isEqualTo(top);
            rig.end(rig.last(), outcome);
            assertThat(rig.last().server()).isEqualTo(runnerUp);
            rig.read(3, 77);
        }
        assertThat(rig.last().server())
                .as("the key stays with the runner-up while its server is shunned")
                .isEqualTo(runnerUp);
    }

    @Test
    void withCacheAsideWritesGoToTheOrigin() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        rig.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(rig.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
    }

    @Test
    void withoutCacheAsideWritesGoByRank() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(false, false, false, DeduplicationScope.ALL))
                .fleet(5);
        rig.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(rig.last().server()).isEqualTo(topRank(7, 5));
    }

    @Test
    void keylessRequestsAreRankedByTheirId() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        Set<Integer> used = new HashSet<>();
        for (int id = 1; id <= 100; id++) {
            rig.read(id, 0);
            used.add(rig.last().server());
        }
        assertThat(used).hasSizeGreaterThan(8);
    }

    // ---- rule 1: one final answer in time

    @ParameterizedTest
    @ValueSource(ints = {LoadBalancerHarness.IDEMPOTENT, LoadBalancerHarness.KEYED, LoadBalancerHarness.NON_IDEMPOTENT})
    void aSilentEndpointStillLeavesOneAnswerAtTheDeadline(int serviceClass) {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        rig.loadBalancer.onRequest(
                rig.now,
                new Request(
                        1,
                        serviceClass,
                        0,
                        7,
                        rig.now + 1000,
                        Double.NaN,
                        0,
                        serviceClass != LoadBalancerHarness.IDEMPOTENT,
                        false),
                rig);
        rig.pass(999);
        assertThat(rig.answers()).isZero();
        rig.pass(1);
        assertThat(rig.answers()).isEqualTo(1);
        int sent = rig.sent.size();
        rig.pass(5000);
        assertThat(rig.answers()).isEqualTo(1);
        assertThat(rig.sent).hasSize(sent);
    }

    @Test
    void lateAndRepeatedEventsOfAFinishedRequestChangeNothing() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        rig.read(1, 7);
        LoadBalancerHarness.SentAttempt first = rig.last();
        rig.loadBalancer.onClientDisconnected(rig.now, 1, rig);
        int orders = rig.orders.size();
        rig.loadBalancer.onClientDisconnected(rig.now, 1, rig);
        rig.end(first, AttemptOutcome.TIMEOUT, true, 0);
        rig.end(first, AttemptOutcome.TIMEOUT, true, 0);
        rig.loadBalancer.onTimer(rig.now, 123456, rig);
        rig.pass(3000);
        assertThat(rig.orders).hasSize(orders);
    }

    @Test
    void anEmptyListIsAnsweredAtOnce() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside();
        rig.loadBalancer.onEndpointUpdate(rig.now, EndpointUpdateKind.CACHED, List.of(), rig);
        rig.read(1, 7);
        rig.write(2, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(rig.rejected).containsExactly(1, 2);
    }

    @Test
    void zeroWeightsShareEqually() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside();
        rig.loadBalancer.onEndpointUpdate(
                rig.now,
                EndpointUpdateKind.SNAPSHOT,
                List.of(
                        new Endpoint(1, 0, 0, 0, EndpointState.READY, 0, 0),
                        new Endpoint(2, 0, 0, 0, EndpointState.READY, 0, 0)),
                rig);
        Set<Integer> used = new HashSet<>();
        for (int id = 1; id <= 40; id++) {
            rig.read(id, id);
            used.add(rig.last().server());
        }
        assertThat(used).containsExactlyInAnyOrder(1, 2);
    }

    // ---- rule 2: no effect twice

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void aNonIdempotentRequestThatMayHaveRunFailsAndIsNotRetried(AttemptOutcome outcome) {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        rig.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        rig.end(rig.last(), outcome);
        rig.pass(2000);
        assertThat(rig.sent).hasSize(1);
        assertThat(rig.failed).containsExactly(1);
        assertThat(rig.rejected).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"REJECTED", "CONNECT_FAILED"})
    void aNonIdempotentRequestKnownNotToHaveRunIsRetried(AttemptOutcome outcome) {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        rig.write(1, LoadBalancerHarness.NON_IDEMPOTENT);
        rig.end(rig.last(), outcome);
        rig.pass(500);
        assertThat(rig.sent).hasSize(2);
    }

    /** By when the repeat reaches a server, for which its connection may have to come up first. */
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
            LoadBalancerHarness rig =
                    new LoadBalancerHarness(LoadBalancerHarness.settings(false, false, false, group)).fleet(12);
            rig.loadBalancer.onRequest(
                    rig.now,
                    new Request(1, LoadBalancerHarness.KEYED, 0, key, rig.now + 1000, Double.NaN, 0, true, false),
                    rig);
            int first = rig.last().server();
            rig.end(rig.last(), AttemptOutcome.RESET);
            if (rig.sent.size() > 1) {
                int then = rig.last().server();
                assertThat(group == DeduplicationScope.ZONE ? then % 2 : then / 4)
                        .isEqualTo(group == DeduplicationScope.ZONE ? first % 2 : first / 4);
            } else {
                assertThat(rig.failed).containsExactly(1);
            }
            assertThat(rig.rejected).isEmpty();
        }
    }

    @Test
    void attemptsStayWithinTheLimitAndOneAtATime() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        rig.read(1, 7);
        for (int i = 0; i < 6 && rig.answers() == 0; i++) {
            rig.end(rig.last(), AttemptOutcome.CONNECT_FAILED);
        }
        assertThat(rig.sent).hasSizeLessThanOrEqualTo(3);
        assertThat(rig.answers()).isEqualTo(1);
    }

    // ---- rule 3: drains

    @Test
    void aDrainingOrRemovedEndpointGetsNothingNewNotEvenAWaitingRetry() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(3);
        rig.change(
                LoadBalancerHarness.endpoint(1, EndpointState.DRAINING, 0),
                LoadBalancerHarness.endpoint(2, EndpointState.REMOVED, 0));
        for (int id = 1; id <= 50; id++) {
            rig.read(id, id);
            assertThat(rig.last().server()).isEqualTo(3);
        }
        rig.read(99, 5);
        rig.change(LoadBalancerHarness.endpoint(LoadBalancerHarness.ORIGIN, EndpointState.DRAINING, 0));
        int sent = rig.sent.size();
        rig.end(rig.last(), AttemptOutcome.MISS);
        assertThat(rig.sent).hasSize(sent);
        assertThat(rig.rejected).containsExactly(99);
    }

    // ---- rule 4: cold servers

    /** At its start it takes 0.3, at half its warm-up 0.65, and all once warm. */
    @Test
    void aColdEndpointTakesNoMoreThanItsRamp() {
        assertThat(taken(0, AttemptOutcome.OK)).isBetween(0.23, 0.37);
        assertThat(taken(4000, AttemptOutcome.OK)).isBetween(0.57, 0.73);
        assertThat(taken(8000, AttemptOutcome.OK)).isEqualTo(1.0);
    }

    /** Part of its own keys that server 5 gets this long after its start. */
    private static double taken(double age, AttemptOutcome outcome) {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        rig.now = 100000;
        rig.change(LoadBalancerHarness.endpoint(5, EndpointState.READY, rig.now - age));
        int own = 0;
        int got = 0;
        for (int key = 1; key <= 4000; key++) {
            if (topRank(key, 12) == 5) {
                own++;
                rig.read(key, key);
                got += rig.last().server() == 5 ? 1 : 0;
                rig.end(rig.last(), outcome);
            }
        }
        return (double) got / own;
    }

    /**
     * Guards warm servers of a fleet that has mostly been replaced: by half its ramp each new one left them too much.
     */
    @Test
    void coldEndpointsTakeTheirCapacityAndLessWhereOthersAreMissing() {
        assertThat(partAtColdServers(20)).isBetween(0.24, 0.34);
        assertThat(partAtColdServers(10)).isBetween(0.015, 0.05);
    }

    /** Twelve of twenty servers go, their successors join up to this number in all: the part that those get, new. */
    private static double partAtColdServers(int inAll) {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(20);
        rig.now += 100_000;
        for (int id = 9; id <= 20; id++) {
            rig.change(LoadBalancerHarness.endpoint(id, EndpointState.REMOVED, 0));
        }
        for (int id = 21; id <= 12 + inAll; id++) {
            rig.change(LoadBalancerHarness.endpoint(id, EndpointState.READY, rig.now));
        }
        int cold = 0;
        for (int id = 1; id <= 2000; id++) {
            rig.read(id, 1000 + id);
            cold += rig.last().server() > 20 ? 1 : 0;
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        return cold / 2000.0;
    }

    /** A repeat must not land on a cold server: a lost hall came back and fell over under repeats. */
    @Test
    void retriesKeepOffAColdEndpoint() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(3);
        rig.change(
                LoadBalancerHarness.endpoint(2, EndpointState.READY, rig.now),
                LoadBalancerHarness.endpoint(3, EndpointState.READY, rig.now));
        for (int id = 1; id <= 200; id++) {
            rig.read(id, id);
            LoadBalancerHarness.SentAttempt p = rig.last();
            if (p.server() == 1) {
                rig.end(p, AttemptOutcome.REJECTED);
                assertThat(rig.last().server()).isNotIn(2, 3);
            }
            rig.end(rig.last(), AttemptOutcome.OK);
        }
    }

    /** In a jam clients ask for the same again at other instances: taken as new, that filled a cold server's window. */
    @Test
    void clientRetriesKeepOffAColdEndpoint() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(3);
        rig.change(
                LoadBalancerHarness.endpoint(2, EndpointState.READY, rig.now),
                LoadBalancerHarness.endpoint(3, EndpointState.READY, rig.now));
        int cold = 0;
        for (int id = 1; id <= 400; id++) {
            if (id % 2 == 0) {
                rig.read(id, id);
                cold += rig.last().server() == 1 ? 0 : 1;
            } else {
                rig.clientRetry(id, id);
                assertThat(rig.last().server())
                        .as("request %d, which a client asks again", id)
                        .isEqualTo(1);
            }
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        assertThat(cold).as("first tries at the cold ones").isBetween(50, 110);
    }

    /** Half way through its warm-up a server takes 0.65, but less where more is asked for than the fleet can do. */
    @Test
    void aColdEndpointTakesLessOfAnOverloadedFleet() {
        assertThat(takenAt(0.3)).isBetween(0.57, 0.73);
        assertThat(takenAt(1.0)).isBetween(0.5, 0.73);
        assertThat(takenAt(2.5))
                .as("three times 0.3 of what it can do warm, of 2.5 times that")
                .isBetween(0.28, 0.44);
    }

    /** Part of its own keys that server 5 gets at half its warm-up, at so much of what the fleet can do. */
    private static double takenAt(double load) {
        int servers = 12;
        int instances = 4;
        double workMs = 40;
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(servers);
        rig.now = 100_000;
        double everyMs = workMs * instances / servers / load;
        int own = 0;
        int got = 0;
        int id = 0;
        for (long key = 1; own < 300; key++) {
            if (topRank(key, servers) != 5) {
                continue;
            }
            boolean counts = rig.now > 105_000;
            rig.now += everyMs;
            rig.change(LoadBalancerHarness.endpoint(5, EndpointState.READY, rig.now - 4000));
            rig.read(++id, key);
            own += counts ? 1 : 0;
            got += counts && rig.last().server() == 5 ? 1 : 0;
            rig.endAfter(rig.last(), AttemptOutcome.OK, workMs);
        }
        return (double) got / own;
    }

    /** Fewer places than proxies: who has none keeps to the runner-up, and tries again by and by. */
    @Test
    void anEndpointAtItsConnectionLimitIsNoFailureAndIsUsedAgainLater() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(6);
        rig.read(1, 77);
        LoadBalancerHarness.SentAttempt first = rig.last();
        rig.end(first, AttemptOutcome.CONNECTION_LIMIT);
        int runnerUp = rig.last().server();
        assertThat(runnerUp).isNotEqualTo(first.server());
        rig.end(rig.last(), AttemptOutcome.OK);
        assertThat(rig.loadBalancer.isAvoided(rig.now, first.server())).isFalse();
        rig.read(2, 77);
        assertThat(rig.last().server()).isEqualTo(runnerUp);
        rig.end(rig.last(), AttemptOutcome.OK);
        rig.pass(2000);
        rig.read(3, 77);
        assertThat(rig.last().server()).isEqualTo(first.server());
        rig.end(rig.last(), AttemptOutcome.OK);
        rig.read(4, 77);
        assertThat(rig.last().server()).isEqualTo(first.server());
    }

    /** What one finds out costs an attempt; the others are told, and leave the server alone without asking. */
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

    /** A peer that is wrong, or lies, takes no place from who has one; nor does a message that can't be read. */
    @Test
    void anInstanceWithAConnectionKeepsItWhateverPeersReport() {
        LoadBalancerHarness rig = LoadBalancerHarness.withPeers(1, 100).fleet(6);
        rig.read(1, 77);
        LoadBalancerHarness.SentAttempt first = rig.last();
        rig.end(first, AttemptOutcome.OK);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointFull(first.server()), rig);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointFull(12345), rig);
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointFull(LoadBalancerHarness.ORIGIN), rig);
        rig.loadBalancer.onPeerMessage(rig.now, 0, new byte[] {'F', 1}, rig);
        rig.loadBalancer.onPeerMessage(rig.now, 0, new byte[0], rig);
        rig.read(2, 77);
        assertThat(rig.last().server()).isEqualTo(first.server());
        rig.end(rig.last(), AttemptOutcome.MISS);
        assertThat(rig.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
    }

    /** Two that find it out at once tell it once: who was told meanwhile says nothing. */
    @Test
    void anInstanceNotifiedMeanwhileNotifiesNobody() {
        LoadBalancerHarness rig = LoadBalancerHarness.withPeers(1, 100).fleet(6);
        rig.read(1, 77);
        LoadBalancerHarness.SentAttempt first = rig.last();
        rig.loadBalancer.onPeerMessage(rig.now, 0, PeerMessage.endpointFull(first.server()), rig);
        rig.end(first, AttemptOutcome.CONNECTION_LIMIT);
        assertThat(rig.peerMessages).isEmpty();
    }

    // ---- departures

    /** A key that draws much of the traffic is spread over several ranks; cool again it has one server. */
    @Test
    void aHotKeyIsSpreadAndComesBack() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(20);
        Set<Integer> hot = new HashSet<>();
        for (int id = 1; id <= 400; id++) {
            rig.now += 5;
            rig.read(id, id % 4 == 0 ? 7 : id + 1000);
            if (id % 4 == 0 && id > 200) {
                hot.add(rig.last().server());
            }
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        assertThat(hot).hasSizeBetween(5, 12);
        rig.now += 60000;
        Set<Integer> calm = new HashSet<>();
        for (int id = 1001; id <= 1020; id++) {
            rig.now += 3000;
            rig.read(id, 7);
            calm.add(rig.last().server());
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        assertThat(calm).containsExactly(topRank(7, 20));
    }

    /** Of many misses for one key one goes to the origin; the others find the object where it was missed. */
    @Test
    void oneFetchPerKey() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        for (int id = 1; id <= 4; id++) {
            rig.read(id, 7);
        }
        for (LoadBalancerHarness.SentAttempt p : List.copyOf(rig.sent)) {
            rig.end(p, AttemptOutcome.MISS);
        }
        assertThat(rig.sent.stream().filter(p -> p.server() == LoadBalancerHarness.ORIGIN))
                .hasSize(1);
        rig.end(rig.last(), AttemptOutcome.OK);
        assertThat(rig.sent).hasSize(8);
        assertThat(rig.last().server()).isEqualTo(topRank(7, 5));
    }

    /** A server that takes work and answers none: the runner-up is asked while origin and answer still fit the aim. */
    @Test
    void aHungEndpointIsPassedOverInTime() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        rig.read(1, 7);
        LoadBalancerHarness.SentAttempt hung = rig.last();
        rig.pass(200);
        assertThat(rig.cancelled).containsExactly("1/0");
        rig.end(hung, AttemptOutcome.CANCELLED);
        assertThat(rig.last().server()).isNotIn(hung.server(), LoadBalancerHarness.ORIGIN);
    }

    /** Doubts have a budget: when all servers slow down together, few requests are sent twice. */
    @Test
    void aSharedSlowdownIsNotHedgedIntoAnOverload() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(12);
        for (int id = 1; id <= 200; id++) {
            rig.now += 1;
            rig.read(id, id);
        }
        rig.pass(400);
        assertThat(rig.sent).hasSizeLessThan(200 + 10);
    }

    /**
     * A zone that is cut off is known by three of its servers that say nothing, not by each of them at the cost of a
     * read; one that answers again opens it.
     */
    @Test
    void aZoneWhoseEndpointsAllFallSilentIsEjected() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(40);
        Set<Integer> asked = new HashSet<>();
        int atCut = 0;
        for (int id = 1; id <= 60; id++) {
            rig.now += 5;
            rig.read(id, id);
            LoadBalancerHarness.SentAttempt p = rig.last();
            if (p.server() % 2 == 1) { // zone 1 can't be reached
                atCut++;
                asked.add(p.server());
                rig.end(p, AttemptOutcome.CONNECT_FAILED);
            }
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        assertThat(atCut).as("reads that went to the zone within 0.3 s").isEqualTo(3);
        assertThat(asked).as("servers of the zone that a read was spent on").hasSize(3);
        rig.pass(1100);
        int again = 0;
        for (int id = 100; id <= 160; id++) {
            rig.now += 1;
            rig.read(id, id);
            again += rig.last().server() % 2;
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        assertThat(again).as("once its time is over and one answers").isGreaterThan(10);
    }

    /** Attempts that one server ends together, or answers that can't be read, are no evidence against its zone. */
    @ParameterizedTest
    @EnumSource(names = {"CONNECT_FAILED", "RESET"})
    void manyFailuresOfOneEndpointDoNotEjectItsZone(AttemptOutcome outcome) {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(40);
        List<LoadBalancerHarness.SentAttempt> at = new ArrayList<>();
        for (int id = 1; id <= 6; id++) {
            rig.read(id, 7); // all at one server
            at.add(rig.last());
        }
        int bad = at.get(0).server();
        at.stream().filter(p -> p.server() == bad).forEach(p -> rig.end(p, outcome));
        int there = 0;
        for (int id = 100; id < 160; id++) {
            rig.read(id, id);
            there += rig.last().server() % 2 == bad % 2 ? 1 : 0;
        }
        assertThat(there).as("reads at the zone's other servers").isGreaterThan(15);
    }

    /** Four bad servers of a zone in which others answer are four bad servers. */
    @Test
    void aZoneInWhichOthersAnswerIsNotEjected() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(40);
        int sound = 0;
        for (int id = 1; id <= 200; id++) {
            rig.now += 5;
            rig.read(id, id);
            LoadBalancerHarness.SentAttempt p = rig.last();
            if (p.server() % 12 == 1) {
                rig.end(p, AttemptOutcome.CONNECT_FAILED);
            } else {
                sound += p.server() % 2;
            }
            rig.end(rig.last(), AttemptOutcome.OK);
        }
        assertThat(sound).as("reads at the zone's other servers").isGreaterThan(40);
    }

    /** An origin that answers nothing in time is asked less and less, and again once it answers. */
    @Test
    void anOverloadedOriginIsLeftToRecover() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        int late = 0;
        for (int id = 1; id <= 100; id++) {
            rig.now += 20;
            rig.read(id, id);
            rig.end(rig.last(), AttemptOutcome.MISS);
            if (rig.last().server() == LoadBalancerHarness.ORIGIN) {
                late += id > 50 ? 1 : 0;
                rig.end(rig.last(), AttemptOutcome.REJECTED);
            }
        }
        assertThat(late).isLessThan(15);
        assertThat(rig.rejected).hasSize(100);
    }

    /** A throttled origin gets no fetch that could not answer in time, and is asked again after a while of calm. */
    @Test
    void aThrottleDoesNotStayShut() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        int fetched = 0;
        for (int id = 1; id <= 200; id++) {
            rig.now += 20;
            rig.read(id, id);
            rig.end(rig.last(), AttemptOutcome.MISS);
            if (rig.last().server() == LoadBalancerHarness.ORIGIN) {
                fetched++;
                rig.now += 900;
                rig.endAfter(rig.last(), AttemptOutcome.OK, 900);
            }
        }
        assertThat(fetched).isLessThan(150);
        rig.now += 30000;
        rig.read(1000, 1000);
        rig.end(rig.last(), AttemptOutcome.MISS);
        assertThat(rig.last().server()).isEqualTo(LoadBalancerHarness.ORIGIN);
    }

    /**
     * An origin that can't be reached for a while, or whose connections break, has not been too busy to answer: once
     * the way is free, each miss is fetched.
     */
    @ParameterizedTest
    @EnumSource(names = {"CONNECT_FAILED", "RESET", "NOT_SENT"})
    void anUnreachableOriginIsNotTakenForAnOverloadedOne(AttemptOutcome broken) {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        int id = 0;
        while (++id <= 100) {
            rig.now += 20;
            rig.read(id, id);
            rig.end(rig.last(), AttemptOutcome.MISS);
            if (rig.last().server() == LoadBalancerHarness.ORIGIN) {
                rig.end(rig.last(), broken);
            }
        }
        rig.now += 500;
        for (; id <= 150; id++) {
            rig.now += 20;
            rig.read(id, id);
            rig.end(rig.last(), AttemptOutcome.MISS);
            assertThat(rig.last().server()).as("request %d", id).isEqualTo(LoadBalancerHarness.ORIGIN);
            rig.end(rig.last(), AttemptOutcome.OK);
        }
    }

    /**
     * Where the way to the origin is known to be broken, a read that needs it is told so at once, and not after it
     * tried.
     */
    @Test
    void whatNeedsAnUnreachableOriginIsAnsweredAtOnce() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(5);
        int tried = 0;
        for (int id = 1; id <= 100; id++) {
            rig.now += 20;
            rig.read(id, id);
            rig.end(rig.last(), AttemptOutcome.MISS);
            if (rig.last().server() == LoadBalancerHarness.ORIGIN) {
                tried++;
                rig.end(rig.last(), AttemptOutcome.CONNECT_FAILED);
            }
            assertThat(rig.rejected).as("answered within the same moment").hasSize(id);
        }
        assertThat(tried).as("three, and one each half a second").isBetween(5, 8);
        rig.write(1000, LoadBalancerHarness.NON_IDEMPOTENT);
        assertThat(rig.rejected).as("a write has not run, so it is refused").contains(1000);
    }

    /** The instances of a fleet must not call the small list service together, nor at once after a failure. */
    @Test
    void theListIsCalledForOnceWithDelay() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, true, false, DeduplicationScope.ALL))
                .fleet(5);
        assertThat(rig.watches).isZero();
        rig.pass(5000);
        assertThat(rig.watches).isEqualTo(1);
        rig.loadBalancer.onEndpointUpdate(rig.now, EndpointUpdateKind.FAILED, List.of(), rig);
        assertThat(rig.watches).isEqualTo(1);
        rig.pass(5000);
        assertThat(rig.watches).isEqualTo(2);
        rig.change();
        rig.pass(60000);
        assertThat(rig.watches).isEqualTo(2);
    }

    /** What discovery has counts as told 6 s after it could be asked, and a silent call takes 3.4 s of that. */
    @Test
    void howeverOftenCallsFailTheNextIsMadeWithinHalfOfTheTime() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, true, false, DeduplicationScope.ALL))
                .fleet(5);
        rig.pass(3000);
        assertThat(rig.watches).isEqualTo(1);
        for (int failures = 1; failures < 50; failures++) {
            rig.loadBalancer.onEndpointUpdate(rig.now, EndpointUpdateKind.FAILED, List.of(), rig);
            rig.pass(3000);
            assertThat(rig.watches).isEqualTo(1 + failures);
        }
    }

    /** In a crowd the tenant far over its quota is refused, the one inside its quota hardly. */
    @Test
    void rejectionsComeOffTheTenantOverItsQuota() {
        int[] refused = refusedInACrowd(new LoadBalancerHarness(LoadBalancerHarness.tenants(100, 100)).fleet(12));
        assertThat(refused[0]).isGreaterThan(150);
        assertThat(refused[1]).isLessThan(10);
    }

    /** Where what is over a share is worth as much as the rest, all are refused alike, also from a reload on. */
    @Test
    void otherSettingsMayEndTheFairShares() {
        LoadBalancerHarness rig = new LoadBalancerHarness(LoadBalancerHarness.tenants(100, 100)).fleet(12);
        rig.loadBalancer.onSettings(
                rig.now, LoadBalancerHarness.withOverQuotaWeight(LoadBalancerHarness.tenants(100, 100), 1), rig);
        int[] refused = refusedInACrowd(rig);
        assertThat(refused[0]).isGreaterThan(150);
        assertThat(refused[1]).as("a tenth of the requests").isGreaterThan(15);
    }

    private static int[] refusedInACrowd(LoadBalancerHarness rig) {
        int[] refused = new int[2];
        for (int id = 1; id <= 1000; id++) {
            rig.now += 10;
            int tenant = id % 10 == 0 ? 1 : 0;
            int before = rig.rejected.size();
            rig.loadBalancer.onRequest(
                    rig.now,
                    new Request(
                            id,
                            LoadBalancerHarness.IDEMPOTENT,
                            tenant,
                            id,
                            rig.now + 1000,
                            Double.NaN,
                            0,
                            false,
                            false),
                    rig);
            if (rig.rejected.size() > before) {
                refused[tenant]++;
            } else {
                rig.endAfter(rig.last(), AttemptOutcome.OK, id % 2 == 0 ? 290 : 20);
            }
        }
        return refused;
    }

    /** Late answers shed reads; timely ones again let all through. */
    @Test
    void overloadOfEndpointsShedsReadsAndEnds() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(12);
        for (int id = 1; id <= 300; id++) {
            rig.now += 10;
            int sent = rig.sent.size();
            rig.read(id, id);
            if (rig.sent.size() > sent) {
                rig.endAfter(rig.last(), AttemptOutcome.OK, 290);
            }
        }
        assertThat(rig.rejected).hasSizeGreaterThan(150);
        rig.now += 60000;
        rig.rejected.clear();
        for (int id = 1001; id <= 1300; id++) {
            rig.now += 10;
            rig.read(id, id);
            rig.endAfter(rig.last(), AttemptOutcome.OK, 20);
        }
        assertThat(rig.rejected).isEmpty();
    }

    /** A few hung servers are no crowd: their time-outs refuse nobody else. */
    @Test
    void hungEndpointsDoNotShedTheOthers() {
        LoadBalancerHarness rig = new LoadBalancerHarness(
                        LoadBalancerHarness.settings(true, false, true, DeduplicationScope.ALL))
                .fleet(12);
        List<LoadBalancerHarness.SentAttempt> hung = new ArrayList<>();
        for (int id = 1; id <= 600; id++) {
            rig.pass(10);
            int sent = rig.sent.size();
            rig.read(id, id);
            if (rig.sent.size() > sent) {
                if (rig.last().server() <= 2) {
                    hung.add(rig.last());
                } else {
                    rig.endAfter(rig.last(), AttemptOutcome.OK, 20);
                }
            }
        }
        assertThat(hung).hasSizeBetween(2, 60);
        assertThat(rig.rejected.stream().filter(id -> hung.stream().noneMatch(p -> p.request() == id)))
                .isEmpty();
    }

    /** A suspect comes back by a trial: the probe's answer, not a client's request, finds out. */
    @Test
    void anEjectedEndpointIsCheckedBeforeItGetsRequests() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(3);
        long key = 1;
        while (topRank(key, 3) != 2) {
            key++;
        }
        rig.read(1, key);
        rig.end(rig.last(), AttemptOutcome.CONNECT_FAILED);
        rig.end(rig.last(), AttemptOutcome.OK);
        rig.now += 1100;
        rig.read(2, key);
        assertThat(rig.last().server()).isNotEqualTo(2);
        assertThat(rig.healthChecked).containsExactly(2);
        rig.loadBalancer.onHealthCheckResult(rig.now, 2, AttemptOutcome.OK, 3, null, rig);
        rig.read(3, key);
        assertThat(rig.last().server()).isEqualTo(2);
    }

    // ---- bad input

    @Test
    void invalidArgumentsAreNamed() {
        LoadBalancerHarness rig = LoadBalancerHarness.cacheAside().fleet(3);
        assertThatThrownBy(() -> rig.change(
                        LoadBalancerHarness.endpoint(1, EndpointState.READY, 0),
                        LoadBalancerHarness.endpoint(1, EndpointState.READY, 0)))
                .hasMessageContaining("member 1 is listed twice");
        assertThatThrownBy(() -> rig.change(new Endpoint(8, 0, 0, 0, EndpointState.READY, Float.NaN, 0)))
                .hasMessageContaining("member 8 has weight NaN");
        assertThatThrownBy(() -> rig.change(new Endpoint(8, 5, 0, 0, EndpointState.READY, 1, 0)))
                .hasMessageContaining("zone 5");
        assertThatThrownBy(() -> rig.loadBalancer.onRequest(
                        rig.now, new Request(1, 9, 0, 1, rig.now + 10, 1, 0, false, false), rig))
                .hasMessageContaining("class 9");
        assertThatThrownBy(() -> rig.loadBalancer.onRequest(
                        rig.now, new Request(1, 0, 3, 1, rig.now + 10, 1, 0, false, false), rig))
                .hasMessageContaining("tenant 3");
    }

    // ---- what is learnt, passed on

    /** A successor keeps off a server that its predecessor has given up, and asks it again when that one would have. */
    @Test
    void aSuccessorKnowsWhichEndpointsHaveFailed() {
        LoadBalancerHarness old = LoadBalancerHarness.cacheAside().fleet(12);
        old.read(1, 77);
        int top = old.last().server();
        old.end(old.last(), AttemptOutcome.CONNECT_FAILED);
        int runnerUp = old.last().server();
        LoadBalancerHarness next = LoadBalancerHarness.cacheAside().fleet(12);
        next.loadBalancer.resume(next.now, old.loadBalancer.learnedState(old.now));
        next.read(1, 77);
        assertThat(next.last().server()).isEqualTo(runnerUp);
        assertThat(next.loadBalancer.isAvoided(next.now, top)).isTrue();
        next.pass(20_000);
        next.read(2, 77);
        assertThat(next.healthChecked)
                .as("its time has come as it would have at the other")
                .contains(top);
    }

    @Test
    void whatIsKnownOfAnEndpointThatHasStartedSinceIsForgotten() {
        LoadBalancerHarness old = LoadBalancerHarness.cacheAside().fleet(12);
        old.read(1, 77);
        int top = old.last().server();
        old.end(old.last(), AttemptOutcome.CONNECT_FAILED);
        LoadBalancerHarness next = LoadBalancerHarness.cacheAside().fleet(12);
        next.change(LoadBalancerHarness.endpoint(top, EndpointState.READY, -20_000));
        next.loadBalancer.resume(next.now, old.loadBalancer.learnedState(old.now));
        next.read(1, 77);
        assertThat(next.last().server()).isEqualTo(top);
    }

    /** Hot keys go to several servers at once, and the throttle on the origin does not open anew. */
    @Test
    void aSuccessorKnowsHotKeysAndTheOriginsLoad() {
        LoadBalancerHarness old = LoadBalancerHarness.cacheAside().fleet(12);
        for (int i = 1; i <= 200; i++) {
            old.read(i, i % 2 == 0 ? 77 : 1000 + i);
        }
        LoadBalancerHarness next = LoadBalancerHarness.cacheAside().fleet(12);
        next.loadBalancer.resume(next.now, old.loadBalancer.learnedState(old.now));
        Set<Integer> servers = new HashSet<>();
        for (int i = 1; i <= 5; i++) { // fewer than make a key hot to one that knows nothing of it
            next.read(i, 77);
            servers.add(next.last().server());
        }
        assertThat(servers).hasSizeGreaterThan(1);
        LearnedState told = old.loadBalancer.learnedState(old.now).get("");
        LearnedState kept = next.loadBalancer.learnedState(next.now).get("");
        assertThat(kept.originLoad()).isEqualTo(told.originLoad());
        assertThat(kept.originFetchMs()).isEqualTo(told.originFetchMs());
    }
}

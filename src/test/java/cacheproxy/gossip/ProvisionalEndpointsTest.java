package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Changes received from peers are used until discovery confirms or replaces them, and for a limited time. */
class ProvisionalEndpointsTest {
    private static final int ORIGIN_KIND = 1;
    private static final double NOW_MS = 1e12;

    private final ProvisionalEndpoints provisional = new ProvisionalEndpoints(ORIGIN_KIND);

    private static Endpoint endpoint(int id, EndpointState state, double startTimeMs) {
        return new Endpoint(id, 0, 0, 0, state, 1, startTimeMs);
    }

    private static EndpointChange change(long version, int endpointId, EndpointState state, double startTimeMs) {
        return new EndpointChange(version, endpointId, state, startTimeMs);
    }

    private static EndpointListDelta delta(long after, long version, EndpointChange... changes) {
        return new EndpointListDelta(after, version, ProvisionalEndpoints.PEER_UPDATE_TTL_MS, List.of(changes));
    }

    /** Starts with endpoints 1 to {@code n} and the origin, in version 41. */
    private void startWith(int n) {
        List<Endpoint> endpoints = new ArrayList<>(IntStream.rangeClosed(1, n)
                .mapToObj(i -> endpoint(i, EndpointState.READY, 0))
                .toList());
        endpoints.add(new Endpoint(100, 0, ORIGIN_KIND, 0, EndpointState.READY, 1, 0));
        provisional.reset(41, endpoints);
    }

    @Test
    void anEndpointThatAPeerHasDrainingOrRemovedIsDrained() {
        startWith(5);
        assertThat(provisional.onPeerUpdate(
                        NOW_MS,
                        delta(
                                41,
                                43,
                                change(43, 1, EndpointState.DRAINING, 0),
                                change(43, 2, EndpointState.REMOVED, 0))))
                .containsExactly(endpoint(1, EndpointState.DRAINING, 0), endpoint(2, EndpointState.DRAINING, 0));
        assertThat(provisional.knownVersion()).isEqualTo(43);
    }

    @Test
    void anEndpointThatAPeerHasRestartedTakesTheNewStartTime() {
        startWith(2);
        assertThat(provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.READY, NOW_MS - 10))))
                .containsExactly(endpoint(1, EndpointState.READY, NOW_MS - 10));
    }

    @Test
    void peersAddNoEndpointAndChangeNoOriginAndNoStartIsInTheFuture() {
        startWith(5);
        assertThat(provisional.onPeerUpdate(
                        NOW_MS,
                        delta(
                                41,
                                43,
                                change(43, 6, EndpointState.READY, 0),
                                change(43, 100, EndpointState.REMOVED, 0),
                                change(
                                        43,
                                        1,
                                        EndpointState.READY,
                                        NOW_MS + 2 * ProvisionalEndpoints.MAX_START_AHEAD_MS))))
                .isEmpty();
    }

    @Test
    void peersDrainNoMoreThanHalfOfTheEndpoints() {
        startWith(5);
        EndpointChange[] all = IntStream.rangeClosed(1, 5)
                .mapToObj(i -> change(43, i, EndpointState.REMOVED, 0))
                .toArray(EndpointChange[]::new);
        assertThat(provisional.onPeerUpdate(NOW_MS, delta(41, 43, all))).hasSize(2);
        ProvisionalEndpoints single = new ProvisionalEndpoints(ORIGIN_KIND);
        single.reset(41, List.of(endpoint(1, EndpointState.READY, 0)));
        assertThat(single.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.REMOVED, 0))))
                .isEmpty();
    }

    @Test
    void discoverysVersionPrecedesPeersChangesOfIt() {
        startWith(5);
        provisional.onDiscoveryUpdate(NOW_MS, 43, false, List.of());
        assertThat(provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.REMOVED, 0))))
                .isEmpty();
    }

    @Test
    void discoverysOlderVersionLeavesPeersChangesOfALaterOne() {
        startWith(3);
        provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW_MS,
                        42,
                        true,
                        List.of(endpoint(1, EndpointState.READY, 0), endpoint(2, EndpointState.READY, 0))))
                .containsExactly(endpoint(1, EndpointState.DRAINING, 0), endpoint(2, EndpointState.READY, 0));
    }

    @Test
    void discoverysListOfTheSameVersionEndsARestriction() {
        startWith(3);
        provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onDiscoveryUpdate(NOW_MS, 43, false, List.of(endpoint(2, EndpointState.DRAINING, 0))))
                .as("a wrong restriction ends by changes that do not contain the endpoint")
                .containsExactlyInAnyOrder(endpoint(2, EndpointState.DRAINING, 0), endpoint(1, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 44, false, List.of()))
                .as("no restriction is left to end")
                .isEmpty();
    }

    /**
     * While discovery does not answer, a drain received from peers counts as known: only an answer from discovery may
     * end it.
     */
    @Test
    void anUnconfirmedRestrictionEndsWithTheFirstAnswerAfterItsTtl() {
        startWith(3);
        provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.REMOVED, 0)));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS - 1, 42, false, List.of()))
                .isEmpty();
        assertThat(provisional.onDiscoveryUpdate(
                        NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 42, false, List.of()))
                .containsExactly(endpoint(1, EndpointState.READY, 0));
    }

    @Test
    void noPeerLiftsADrainByDiscovery() {
        startWith(5);
        provisional.onDiscoveryUpdate(
                NOW_MS,
                42,
                false,
                List.of(endpoint(1, EndpointState.DRAINING, 0), endpoint(2, EndpointState.READY, NOW_MS - 10)));
        assertThat(provisional.onPeerUpdate(
                        NOW_MS,
                        delta(
                                42,
                                43,
                                change(43, 1, EndpointState.READY, NOW_MS),
                                change(43, 2, EndpointState.READY, 0))))
                .isEmpty();
    }

    @Test
    void noPeerLiftsADrainByAnotherPeer() {
        startWith(5);
        provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onPeerUpdate(NOW_MS, delta(43, 44, change(44, 1, EndpointState.READY, NOW_MS))))
                .as("still draining, but slow-started once it is used")
                .containsExactly(endpoint(1, EndpointState.DRAINING, NOW_MS));
        assertThat(provisional.onDiscoveryUpdate(NOW_MS, 44, false, List.of(endpoint(1, EndpointState.READY, NOW_MS))))
                .containsExactly(endpoint(1, EndpointState.READY, NOW_MS));
    }

    /**
     * Guards against a list that arrives out of order, or from a replica that lags behind, and lifts restrictions of a
     * newer list.
     */
    @Test
    void anOlderListLiftsNoDrainBeforeItsDelay() {
        startWith(3);
        provisional.onDiscoveryUpdate(
                NOW_MS,
                44,
                false,
                List.of(endpoint(1, EndpointState.DRAINING, 0), endpoint(2, EndpointState.REMOVED, 0)));
        List<Endpoint> older = List.of(
                endpoint(1, EndpointState.READY, 0),
                endpoint(2, EndpointState.READY, 0),
                endpoint(3, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW_MS, 42, true, older))
                .containsExactly(
                        endpoint(1, EndpointState.DRAINING, 0),
                        endpoint(2, EndpointState.DRAINING, 0),
                        endpoint(3, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW_MS + ProvisionalEndpoints.OLDER_LIST_DELAY_MS - 1, 43, false, List.of()))
                .isEmpty();
        assertThat(provisional.onDiscoveryUpdate(
                        NOW_MS + ProvisionalEndpoints.OLDER_LIST_DELAY_MS, 43, false, List.of()))
                .containsExactly(endpoint(1, EndpointState.READY, 0), endpoint(2, EndpointState.READY, 0));
    }

    @Test
    void anOlderListLiftsTheDrainOfEndpointsStartedSince() {
        startWith(3);
        provisional.onDiscoveryUpdate(
                NOW_MS,
                44,
                false,
                List.of(endpoint(1, EndpointState.DRAINING, 0), endpoint(2, EndpointState.DRAINING, 0)));
        List<Endpoint> older =
                List.of(endpoint(1, EndpointState.READY, NOW_MS - 10), endpoint(2, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW_MS, 2, true, older))
                .containsExactly(endpoint(1, EndpointState.READY, NOW_MS - 10), endpoint(2, EndpointState.DRAINING, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW_MS, 3, false, List.of(endpoint(2, EndpointState.READY, NOW_MS))))
                .containsExactly(endpoint(2, EndpointState.READY, NOW_MS));
    }

    @Test
    void anOlderListLeavesPeersChangesUntilTheirTtl() {
        startWith(3);
        provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onDiscoveryUpdate(NOW_MS, 2, false, List.of())).isEmpty();
        assertThat(provisional.knownVersion()).isEqualTo(2);
        assertThat(provisional.onDiscoveryUpdate(NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 2, false, List.of()))
                .containsExactly(endpoint(1, EndpointState.READY, 0));
    }

    @Test
    void aPeerThatMissedSeveralVersionsIsSentAllOfThem() {
        startWith(3);
        provisional.onDiscoveryUpdate(NOW_MS, 42, false, List.of(endpoint(1, EndpointState.DRAINING, 0)));
        provisional.onDiscoveryUpdate(
                NOW_MS,
                43,
                false,
                List.of(endpoint(1, EndpointState.REMOVED, 0), endpoint(2, EndpointState.DRAINING, 0)));
        assertThat(provisional.changesSince(NOW_MS, 41))
                .containsExactly(delta(
                        41, 43, change(43, 1, EndpointState.REMOVED, 0), change(43, 2, EndpointState.DRAINING, 0)));
        assertThat(provisional.changesSince(NOW_MS, 43)).isEmpty();
        assertThat(provisional.recentChanges().afterVersion()).isEqualTo(41);
    }

    /** Any peer that received a message can relay it to those that missed it, but no relay extends its lifetime. */
    @Test
    void aPeersDeltaIsRelayedWithItsRemainingTtl() {
        startWith(5);
        provisional.onPeerUpdate(NOW_MS, delta(41, 43, change(43, 1, EndpointState.REMOVED, 0)));
        List<EndpointListDelta> relayed = provisional.changesSince(NOW_MS + 5000, 41);
        assertThat(relayed)
                .containsExactly(new EndpointListDelta(
                        41,
                        43,
                        ProvisionalEndpoints.PEER_UPDATE_TTL_MS - 5000,
                        List.of(change(43, 1, EndpointState.REMOVED, 0))));
        assertThat(provisional.changesSince(NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 41))
                .isEmpty();
        ProvisionalEndpoints other = new ProvisionalEndpoints(ORIGIN_KIND);
        other.reset(41, List.of(endpoint(1, EndpointState.READY, 0), endpoint(2, EndpointState.READY, 0)));
        other.onPeerUpdate(NOW_MS + 5000, relayed.get(0));
        assertThat(other.onDiscoveryUpdate(NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS - 1, 42, false, List.of()))
                .isEmpty();
        assertThat(other.onDiscoveryUpdate(NOW_MS + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 42, false, List.of()))
                .as("ends when it would have ended at the first receiver")
                .containsExactly(endpoint(1, EndpointState.READY, 0));
        other.onDiscoveryUpdate(NOW_MS + 5000, 43, false, List.of());
        assertThat(other.changesSince(NOW_MS + 5000, 41))
                .as("discovery's own version replaces it")
                .isEmpty();
    }

    /** Snapshots do not list changes. */
    @Test
    void anEndpointMissingFromASnapshotIsSentAsRemoved() {
        startWith(2);
        provisional.onDiscoveryUpdate(NOW_MS, 42, true, List.of(endpoint(1, EndpointState.READY, 0)));
        assertThat(provisional.changesSince(NOW_MS, 41))
                .containsExactly(delta(
                        41, 42, change(42, 2, EndpointState.REMOVED, 0), change(42, 100, EndpointState.REMOVED, 0)));
    }

    @Test
    void manyChangesNeedSeveralMessagesAndTheNewestFitIntoOne() {
        int count = 3 * EndpointListDelta.MAX_CHANGES;
        startWith(count);
        for (int i = 1; i <= count; i++) {
            provisional.onDiscoveryUpdate(NOW_MS, 41 + i, false, List.of(endpoint(i, EndpointState.DRAINING, 0)));
        }
        assertThat(provisional.changesSince(NOW_MS, 41)).hasSize(3);
        assertThat(provisional.changesSince(NOW_MS, 41).stream()
                        .flatMap(u -> u.changes().stream())
                        .map(EndpointChange::endpointId)
                        .distinct()
                        .count())
                .isEqualTo(count);
        provisional.onDiscoveryUpdate(NOW_MS, 1000, true, List.of(endpoint(1, EndpointState.READY, 0)));
        assertThat(provisional.recentChanges().changes()).hasSize(EndpointListDelta.MAX_CHANGES);
        assertThat(provisional.recentChanges().afterVersion())
                .as("does not claim to contain the dropped changes")
                .isEqualTo(1000);
    }

    /** Whatever peers send and lose, in the end the list is the one that discovery has sent. */
    @Property(seed = "1", tries = 300)
    void discoverysListPrevailsInTheEnd(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        startWith(8);
        Map<Integer, Endpoint> used = new HashMap<>();
        Map<Integer, Endpoint> discovered = new HashMap<>();
        IntStream.rangeClosed(1, 8).forEach(i -> discovered.put(i, endpoint(i, EndpointState.READY, 0)));
        used.putAll(discovered);
        for (long version = 42; version < 60; version++) {
            Endpoint next = endpoint(
                    1 + random.nextInt(8), EndpointState.values()[random.nextInt(3)], random.nextInt(3) * 1000);
            if (random.nextBoolean()) {
                provisional
                        .onPeerUpdate(
                                NOW_MS,
                                delta(
                                        41,
                                        version + random.nextInt(5),
                                        change(version, next.id(), next.state(), next.startTimeMs())))
                        .forEach(m -> used.put(m.id(), m));
            } else {
                discovered.put(next.id(), next);
                provisional
                        .onDiscoveryUpdate(NOW_MS, version, false, List.of(next))
                        .forEach(m -> used.put(m.id(), m));
            }
            used.forEach((id, endpoint) -> {
                Endpoint listed = discovered.get(id);
                assertThat(endpoint.state() != EndpointState.READY || listed.state() == EndpointState.READY)
                        .as("an endpoint is ready only if discovery has it as ready")
                        .isTrue();
                assertThat(endpoint.startTimeMs())
                        .as("no start time is earlier than discovery's")
                        .isGreaterThanOrEqualTo(listed.startTimeMs());
            });
        }
        provisional.onDiscoveryUpdate(NOW_MS, 100, false, List.of()).forEach(m -> used.put(m.id(), m));
        assertThat(used).isEqualTo(discovered);
    }

    @Property(seed = "1", tries = 2000)
    void randomBytesAreNoDelta(@ForAll byte[] bytes) {
        EndpointListDelta delta = EndpointListDelta.decode(bytes);
        assertThat(delta == null || delta.encode().length == bytes.length).isTrue();
    }

    @Test
    void aDeltaIsDecodedAsItWasEncoded() {
        EndpointListDelta delta =
                delta(41, 43, change(43, -5, EndpointState.REMOVED, 0), change(43, 7, EndpointState.READY, NOW_MS));
        assertThat(EndpointListDelta.decode(delta.encode())).isEqualTo(delta);
        byte[] bytes = delta.encode();
        bytes[1 + 2 * Long.BYTES + Short.BYTES + Integer.BYTES] = 9;
        assertThat(EndpointListDelta.decode(bytes)).as("no such state").isNull();
        assertThat(EndpointListDelta.decode(delta(43, 41).encode()))
                .as("versions in reverse order")
                .isNull();
    }
}

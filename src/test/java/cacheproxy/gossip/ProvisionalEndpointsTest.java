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

/** What peers tell of the list: used until discovery's word comes, and for no longer than that may take. */
class ProvisionalEndpointsTest {
    private static final int ORIGIN_KIND = 1;
    private static final double NOW = 1e12;

    private final ProvisionalEndpoints provisional = new ProvisionalEndpoints(ORIGIN_KIND);

    private static Endpoint member(int id, EndpointState state, double bornMs) {
        return new Endpoint(id, 0, 0, 0, state, 1, bornMs);
    }

    private static EndpointChange change(long version, int server, EndpointState state, double bornMs) {
        return new EndpointChange(version, server, state, bornMs);
    }

    private static EndpointListDelta update(long after, long version, EndpointChange... changes) {
        return new EndpointListDelta(after, version, ProvisionalEndpoints.PEER_UPDATE_TTL_MS, List.of(changes));
    }

    /** Servers 1 to {@code n} and the origin, in version 41. */
    private void begin(int n) {
        List<Endpoint> members = new ArrayList<>(IntStream.rangeClosed(1, n)
                .mapToObj(i -> member(i, EndpointState.READY, 0))
                .toList());
        members.add(new Endpoint(100, 0, ORIGIN_KIND, 0, EndpointState.READY, 1, 0));
        provisional.reset(41, members);
    }

    @Test
    void anEndpointThatAPeerHasDrainingOrRemovedIsDrained() {
        begin(5);
        assertThat(provisional.onPeerUpdate(
                        NOW,
                        update(
                                41,
                                43,
                                change(43, 1, EndpointState.DRAINING, 0),
                                change(43, 2, EndpointState.REMOVED, 0))))
                .containsExactly(member(1, EndpointState.DRAINING, 0), member(2, EndpointState.DRAINING, 0));
        assertThat(provisional.knownVersion()).isEqualTo(43);
    }

    @Test
    void anEndpointThatAPeerHasRestartedTakesTheNewStartTime() {
        begin(2);
        assertThat(provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.READY, NOW - 10))))
                .containsExactly(member(1, EndpointState.READY, NOW - 10));
    }

    @Test
    void peersAddNoEndpointAndChangeNoOriginAndNoStartIsInTheFuture() {
        begin(5);
        assertThat(provisional.onPeerUpdate(
                        NOW,
                        update(
                                41,
                                43,
                                change(43, 6, EndpointState.READY, 0),
                                change(43, 100, EndpointState.REMOVED, 0),
                                change(43, 1, EndpointState.READY, NOW + 2 * ProvisionalEndpoints.MAX_START_AHEAD_MS))))
                .isEmpty();
    }

    @Test
    void peersDrainNoMoreThanHalfOfTheEndpoints() {
        begin(5);
        EndpointChange[] all = IntStream.rangeClosed(1, 5)
                .mapToObj(i -> change(43, i, EndpointState.REMOVED, 0))
                .toArray(EndpointChange[]::new);
        assertThat(provisional.onPeerUpdate(NOW, update(41, 43, all))).hasSize(2);
        ProvisionalEndpoints one = new ProvisionalEndpoints(ORIGIN_KIND);
        one.reset(41, List.of(member(1, EndpointState.READY, 0)));
        assertThat(one.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.REMOVED, 0))))
                .isEmpty();
    }

    @Test
    void discoverysVersionPrecedesPeersChangesOfIt() {
        begin(5);
        provisional.onDiscoveryUpdate(NOW, 43, false, List.of());
        assertThat(provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.REMOVED, 0))))
                .isEmpty();
    }

    @Test
    void discoverysOlderVersionLeavesPeersChangesOfALaterOne() {
        begin(3);
        provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW, 42, true, List.of(member(1, EndpointState.READY, 0), member(2, EndpointState.READY, 0))))
                .containsExactly(member(1, EndpointState.DRAINING, 0), member(2, EndpointState.READY, 0));
    }

    @Test
    void discoverysListOfTheSameVersionEndsARestriction() {
        begin(3);
        provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onDiscoveryUpdate(NOW, 43, false, List.of(member(2, EndpointState.DRAINING, 0))))
                .as("a wrong word is undone by changes that do not name the server")
                .containsExactlyInAnyOrder(member(2, EndpointState.DRAINING, 0), member(1, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 44, false, List.of()))
                .as("nothing is left to end")
                .isEmpty();
    }

    /** While discovery is silent, a drain that peers told counts as told: nothing but discovery's word may end it. */
    @Test
    void anUnconfirmedRestrictionEndsWithTheFirstAnswerAfterItsTtl() {
        begin(3);
        provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.REMOVED, 0)));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS - 1, 42, false, List.of()))
                .isEmpty();
        assertThat(provisional.onDiscoveryUpdate(NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 42, false, List.of()))
                .containsExactly(member(1, EndpointState.READY, 0));
    }

    @Test
    void noPeerLiftsADrainByDiscovery() {
        begin(5);
        provisional.onDiscoveryUpdate(
                NOW,
                42,
                false,
                List.of(member(1, EndpointState.DRAINING, 0), member(2, EndpointState.READY, NOW - 10)));
        assertThat(provisional.onPeerUpdate(
                        NOW,
                        update(42, 43, change(43, 1, EndpointState.READY, NOW), change(43, 2, EndpointState.READY, 0))))
                .isEmpty();
    }

    @Test
    void noPeerLiftsADrainByAnotherPeer() {
        begin(5);
        provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onPeerUpdate(NOW, update(43, 44, change(44, 1, EndpointState.READY, NOW))))
                .as("left alone all the same, but cold as soon as it is used")
                .containsExactly(member(1, EndpointState.DRAINING, NOW));
        assertThat(provisional.onDiscoveryUpdate(NOW, 44, false, List.of(member(1, EndpointState.READY, NOW))))
                .containsExactly(member(1, EndpointState.READY, NOW));
    }

    /**
     * A list that comes out of turn, or of a replica that is behind, permits nothing that a newer one has forbidden.
     */
    @Test
    void anOlderListLiftsNoDrainBeforeItsDelay() {
        begin(3);
        provisional.onDiscoveryUpdate(
                NOW, 44, false, List.of(member(1, EndpointState.DRAINING, 0), member(2, EndpointState.REMOVED, 0)));
        List<Endpoint> older = List.of(
                member(1, EndpointState.READY, 0),
                member(2, EndpointState.READY, 0),
                member(3, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW, 42, true, older))
                .containsExactly(
                        member(1, EndpointState.DRAINING, 0),
                        member(2, EndpointState.DRAINING, 0),
                        member(3, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(
                        NOW + ProvisionalEndpoints.OLDER_LIST_DELAY_MS - 1, 43, false, List.of()))
                .isEmpty();
        assertThat(provisional.onDiscoveryUpdate(NOW + ProvisionalEndpoints.OLDER_LIST_DELAY_MS, 43, false, List.of()))
                .containsExactly(member(1, EndpointState.READY, 0), member(2, EndpointState.READY, 0));
    }

    @Test
    void anOlderListLiftsTheDrainOfEndpointsStartedSince() {
        begin(3);
        provisional.onDiscoveryUpdate(
                NOW, 44, false, List.of(member(1, EndpointState.DRAINING, 0), member(2, EndpointState.DRAINING, 0)));
        List<Endpoint> older = List.of(member(1, EndpointState.READY, NOW - 10), member(2, EndpointState.READY, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW, 2, true, older))
                .containsExactly(member(1, EndpointState.READY, NOW - 10), member(2, EndpointState.DRAINING, 0));
        assertThat(provisional.onDiscoveryUpdate(NOW, 3, false, List.of(member(2, EndpointState.READY, NOW))))
                .containsExactly(member(2, EndpointState.READY, NOW));
    }

    @Test
    void anOlderListLeavesPeersChangesUntilTheirTtl() {
        begin(3);
        provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.DRAINING, 0)));
        assertThat(provisional.onDiscoveryUpdate(NOW, 2, false, List.of())).isEmpty();
        assertThat(provisional.knownVersion()).isEqualTo(2);
        assertThat(provisional.onDiscoveryUpdate(NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 2, false, List.of()))
                .containsExactly(member(1, EndpointState.READY, 0));
    }

    @Test
    void aPeerThatMissedSeveralVersionsIsSentAllOfThem() {
        begin(3);
        provisional.onDiscoveryUpdate(NOW, 42, false, List.of(member(1, EndpointState.DRAINING, 0)));
        provisional.onDiscoveryUpdate(
                NOW, 43, false, List.of(member(1, EndpointState.REMOVED, 0), member(2, EndpointState.DRAINING, 0)));
        assertThat(provisional.changesSince(NOW, 41))
                .containsExactly(update(
                        41, 43, change(43, 1, EndpointState.REMOVED, 0), change(43, 2, EndpointState.DRAINING, 0)));
        assertThat(provisional.changesSince(NOW, 43)).isEmpty();
        assertThat(provisional.recentChanges().afterVersion()).isEqualTo(41);
    }

    /** Of a message that was lost any peer that heard it can tell, but nobody can make it last longer than it does. */
    @Test
    void aPeersDeltaIsRelayedWithItsRemainingTtl() {
        begin(5);
        provisional.onPeerUpdate(NOW, update(41, 43, change(43, 1, EndpointState.REMOVED, 0)));
        List<EndpointListDelta> passedOn = provisional.changesSince(NOW + 5000, 41);
        assertThat(passedOn)
                .containsExactly(new EndpointListDelta(
                        41,
                        43,
                        ProvisionalEndpoints.PEER_UPDATE_TTL_MS - 5000,
                        List.of(change(43, 1, EndpointState.REMOVED, 0))));
        assertThat(provisional.changesSince(NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 41))
                .isEmpty();
        ProvisionalEndpoints other = new ProvisionalEndpoints(ORIGIN_KIND);
        other.reset(41, List.of(member(1, EndpointState.READY, 0), member(2, EndpointState.READY, 0)));
        other.onPeerUpdate(NOW + 5000, passedOn.get(0));
        assertThat(other.onDiscoveryUpdate(NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS - 1, 42, false, List.of()))
                .isEmpty();
        assertThat(other.onDiscoveryUpdate(NOW + ProvisionalEndpoints.PEER_UPDATE_TTL_MS, 42, false, List.of()))
                .as("ends when it would have ended where it was heard first")
                .containsExactly(member(1, EndpointState.READY, 0));
        other.onDiscoveryUpdate(NOW + 5000, 43, false, List.of());
        assertThat(other.changesSince(NOW + 5000, 41))
                .as("discovery's word goes before")
                .isEmpty();
    }

    /** Whole lists name no change by itself. */
    @Test
    void anEndpointMissingFromASnapshotIsSentAsRemoved() {
        begin(2);
        provisional.onDiscoveryUpdate(NOW, 42, true, List.of(member(1, EndpointState.READY, 0)));
        assertThat(provisional.changesSince(NOW, 41))
                .containsExactly(update(
                        41, 42, change(42, 2, EndpointState.REMOVED, 0), change(42, 100, EndpointState.REMOVED, 0)));
    }

    @Test
    void manyChangesNeedSeveralMessagesAndTheNewestFitIntoOne() {
        int servers = 3 * EndpointListDelta.MAX_CHANGES;
        begin(servers);
        for (int i = 1; i <= servers; i++) {
            provisional.onDiscoveryUpdate(NOW, 41 + i, false, List.of(member(i, EndpointState.DRAINING, 0)));
        }
        assertThat(provisional.changesSince(NOW, 41)).hasSize(3);
        assertThat(provisional.changesSince(NOW, 41).stream()
                        .flatMap(u -> u.changes().stream())
                        .map(EndpointChange::endpointId)
                        .distinct()
                        .count())
                .isEqualTo(servers);
        provisional.onDiscoveryUpdate(NOW, 1000, true, List.of(member(1, EndpointState.READY, 0)));
        assertThat(provisional.recentChanges().changes()).hasSize(EndpointListDelta.MAX_CHANGES);
        assertThat(provisional.recentChanges().afterVersion())
                .as("what was dropped is not claimed")
                .isEqualTo(1000);
    }

    /** Whatever peers tell and lose, all that discovery has told of a version in the end is what it says. */
    @Property(seed = "1", tries = 300)
    void discoverysListPrevailsInTheEnd(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        begin(8);
        Map<Integer, Endpoint> used = new HashMap<>();
        Map<Integer, Endpoint> truth = new HashMap<>();
        IntStream.rangeClosed(1, 8).forEach(i -> truth.put(i, member(i, EndpointState.READY, 0)));
        used.putAll(truth);
        for (long version = 42; version < 60; version++) {
            Endpoint next =
                    member(1 + random.nextInt(8), EndpointState.values()[random.nextInt(3)], random.nextInt(3) * 1000);
            if (random.nextBoolean()) {
                provisional
                        .onPeerUpdate(
                                NOW,
                                update(
                                        41,
                                        version + random.nextInt(5),
                                        change(version, next.id(), next.state(), next.startTimeMs())))
                        .forEach(m -> used.put(m.id(), m));
            } else {
                truth.put(next.id(), next);
                provisional
                        .onDiscoveryUpdate(NOW, version, false, List.of(next))
                        .forEach(m -> used.put(m.id(), m));
            }
            used.forEach((id, member) -> {
                Endpoint own = truth.get(id);
                assertThat(member.state() != EndpointState.READY || own.state() == EndpointState.READY)
                        .as("a server is ready only by discovery's own word")
                        .isTrue();
                assertThat(member.startTimeMs())
                        .as("none counts as warmer than by that word")
                        .isGreaterThanOrEqualTo(own.startTimeMs());
            });
        }
        provisional.onDiscoveryUpdate(NOW, 100, false, List.of()).forEach(m -> used.put(m.id(), m));
        assertThat(used).isEqualTo(truth);
    }

    @Property(seed = "1", tries = 2000)
    void randomBytesAreNoDelta(@ForAll byte[] bytes) {
        EndpointListDelta update = EndpointListDelta.decode(bytes);
        assertThat(update == null || update.encode().length == bytes.length).isTrue();
    }

    @Test
    void aDeltaIsDecodedAsItWasEncoded() {
        EndpointListDelta update =
                update(41, 43, change(43, -5, EndpointState.REMOVED, 0), change(43, 7, EndpointState.READY, NOW));
        assertThat(EndpointListDelta.decode(update.encode())).isEqualTo(update);
        byte[] bytes = update.encode();
        bytes[1 + 2 * Long.BYTES + Short.BYTES + Integer.BYTES] = 9;
        assertThat(EndpointListDelta.decode(bytes)).as("no such state").isNull();
        assertThat(EndpointListDelta.decode(update(43, 41).encode()))
                .as("backwards")
                .isNull();
    }
}

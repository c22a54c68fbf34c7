package cacheproxy.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.membership.ConfiguredMembers;
import cacheproxy.membership.Member;
import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.OutgoingMessage;
import cacheproxy.membership.ServicePhase;
import cacheproxy.recovery.PeerStateQuery.Result;
import cacheproxy.recovery.PeerStateQuery.State;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * An instance without state queries some of the serving peers, and different instances query different peers. The
 * answers only make it more cautious.
 */
class PeerStateQueryTest {
    private static final int ZONES = 4;

    /** The view of one of {@code all} instances, of which the first {@code serving} are serving. */
    private static MembershipView view(int self, int all, int serving) {
        List<Member> entries = new ArrayList<>();
        for (int i = 0; i < all; i++) {
            Membership m = new Membership(
                    MembershipSettings.forConfigured(all),
                    i,
                    i % ZONES,
                    new byte[0],
                    0,
                    i,
                    new Membership.MessageBudget() {
                        @Override
                        public boolean tryAcquire(double nowMs, int bytes, OutgoingMessage.Urgency urgency) {
                            return true;
                        }

                        @Override
                        public int availableBytes(double nowMs) {
                            return 0;
                        }
                    });
            m.setPhase(i < serving ? ServicePhase.SERVING : ServicePhase.RECOVERING);
            entries.add(m.member(i));
        }
        return new MembershipView(self, 0, entries, 0, new ConfiguredMembers(all), false);
    }

    private static PeerStateSummary summary(long version, Integer... bad) {
        return new PeerStateSummary(version, 20, 3, 1, Arrays.asList(bad));
    }

    @Example
    void threePeersOfThreeZonesAreQueriedByEachInstanceOthers() {
        Set<Integer> queried = new HashSet<>();
        for (int self = 20; self < 60; self++) {
            List<Integer> chosen = new PeerStateQuery(self, 0).peersToQuery(0, view(self, 60, 20));
            assertThat(chosen).hasSize(3).doesNotHaveDuplicates();
            assertThat(chosen.stream().map(i -> i % ZONES).distinct()).hasSize(3);
            queried.addAll(chosen);
        }
        assertThat(queried.size()).as("of twenty serving peers").isGreaterThan(15);
    }

    @Example
    void missingAnswerIsRequestedFromTheNextPeer() {
        PeerStateQuery query = new PeerStateQuery(9, 0);
        MembershipView view = view(9, 10, 6);
        List<Integer> first = query.peersToQuery(0, view);
        assertThat(query.peersToQuery(400, view)).isEmpty();
        query.answerReceived(first.get(0), summary(4));
        List<Integer> second = query.peersToQuery(600, view);
        assertThat(second).hasSize(2).doesNotContainAnyElementsOf(first);
        query.answerReceived(second.get(0), summary(5));
        query.answerReceived(second.get(0), summary(7));
        assertThat(query.peersToQuery(700, view)).isEmpty();
        assertThat(query.state()).isEqualTo(State.QUERYING);
        query.answerReceived(first.get(1), summary(6));
        query.peersToQuery(800, view);
        assertThat(query.state()).isEqualTo(State.ANSWERED);
        assertThat(query.result(Map.of(), Map.of()).listVersion()).isEqualTo(6);
    }

    @Example
    void queryEndsSoonWithoutServingPeers() {
        PeerStateQuery query = new PeerStateQuery(0, 0);
        for (int t = 0; t < 3000; t += 100) {
            assertThat(query.peersToQuery(t, view(0, 12, 0))).isEmpty();
            assertThat(query.state()).isEqualTo(State.QUERYING);
        }
        query.peersToQuery(3000, view(0, 12, 0));
        assertThat(query.state()).isEqualTo(State.NO_SERVING_PEER);
    }

    @Example
    void queryEndsWithoutAnswers() {
        PeerStateQuery query = new PeerStateQuery(9, 0);
        MembershipView view = view(9, 10, 6);
        Set<Integer> queried = new HashSet<>();
        for (int t = 0; t <= PeerStateQuery.QUERY_TIMEOUT_MS; t += 100) {
            query.peersToQuery(t, view).forEach(p -> assertThat(queried.add(p)).isTrue());
        }
        assertThat(queried).hasSize(6);
        assertThat(query.state()).isEqualTo(State.UNANSWERED);
    }

    /**
     * Whatever the three answers name, even all nodes: no more than a quarter of a zone is suspected, and no node that
     * only one answer names.
     */
    @Property(seed = "3", tries = 500)
    void suspectedNodesAreBoundedByZone(
            @ForAll @Size(3) List<@Size(max = 40) List<@IntRange(max = 60) Integer>> named) {
        PeerStateQuery query = new PeerStateQuery(9, 0);
        MembershipView view = view(9, 10, 3);
        List<Integer> queried = query.peersToQuery(0, view);
        Map<Integer, Integer> zoneOf = new HashMap<>();
        Map<Integer, Integer> inZone = new HashMap<>();
        for (int n = 0; n < 48; n++) {
            zoneOf.put(n, n % ZONES);
            inZone.merge(n % ZONES, 1, Integer::sum);
        }
        for (int i = 0; i < 3; i++) {
            query.answerReceived(queried.get(i), summary(1, named.get(i).toArray(new Integer[0])));
        }
        Result r = query.result(zoneOf, inZone);
        for (int z = 0; z < ZONES; z++) {
            int zone = z;
            assertThat(r.suspectedNodes().stream().filter(n -> zoneOf.get(n) == zone))
                    .hasSizeLessThanOrEqualTo(3);
        }
        assertThat(r.suspectedNodes())
                .doesNotHaveDuplicates()
                .allMatch(n -> zoneOf.containsKey(n)
                        && named.stream().filter(s -> s.contains(n)).count() >= 2);
    }

    @Property(seed = "4", tries = 500)
    void summariesRoundTripAndOtherBytesAreRejected(@ForAll @Size(max = 48) List<Integer> bad, @ForAll byte[] bytes) {
        PeerStateSummary summary = new PeerStateSummary(7, 1.5f, 0, 0.25f, bad);
        assertThat(PeerStateSummary.decode(summary.encode())).isEqualTo(summary);
        assertThat(summary.encode()).hasSizeLessThanOrEqualTo(250);
        PeerStateSummary read = PeerStateSummary.decode(bytes);
        if (read != null) {
            assertThat(read.encode()).isEqualTo(bytes);
        }
        byte[] cut = Arrays.copyOf(summary.encode(), summary.encode().length - 1);
        assertThat(PeerStateSummary.decode(cut)).isNull();
    }
}

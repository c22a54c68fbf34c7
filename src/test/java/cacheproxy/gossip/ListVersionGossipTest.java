package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.gossip.ListVersionGossip.Action;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A fleet of proxies at one discovery service, in virtual time. */
class ListVersionGossipTest {
    private static final double STEP_MS = 10;

    /** Proxies of which some receive nothing through their watch until they poll again. */
    private static final class Fleet {
        final ListVersionGossip[] proxies;
        final long[] heldVersions;
        final boolean[] silent;
        final int[] polls;
        final SplittableRandom random;
        final double loss;
        long discoveryVersion;
        double nowMs;
        int messagesSent;
        final List<Message> inFlight = new ArrayList<>();

        Fleet(int instances, double loss, long seed) {
            proxies = new ListVersionGossip[instances];
            heldVersions = new long[instances];
            silent = new boolean[instances];
            polls = new int[instances];
            random = new SplittableRandom(seed);
            this.loss = loss;
            for (int i = 0; i < instances; i++) {
                proxies[i] = new ListVersionGossip(instances, seed + i);
            }
        }

        void change() {
            discoveryVersion++;
            for (int i = 0; i < proxies.length; i++) {
                if (!silent[i]) {
                    deliver(i);
                }
            }
        }

        void deliver(int i) {
            heldVersions[i] = discoveryVersion;
            proxies[i].onVersionApplied(nowMs, discoveryVersion);
        }

        void announce(int i) {
            for (int to = 0; to < proxies.length; to++) {
                if (to != i) {
                    messagesSent++;
                    if (random.nextDouble() >= loss) {
                        inFlight.add(new Message(nowMs + 5 + 25 * random.nextDouble(), to, heldVersions[i]));
                    }
                }
            }
        }

        void receiveAnnouncement(int to, long version) {
            proxies[to].onPeerVersion(nowMs, version);
        }

        void advance(double ms) {
            for (double endMs = nowMs + ms; nowMs < endMs; nowMs += STEP_MS) {
                inFlight.stream().filter(m -> m.atMs <= nowMs).toList().forEach(m -> {
                    inFlight.remove(m);
                    receiveAnnouncement(
                            m.to, PeerMessage.readListVersion(PeerMessage.listVersionAnnouncement(m.version)));
                });
                for (int i = 0; i < proxies.length; i++) {
                    switch (proxies[i].onTimer(nowMs)) {
                        case ANNOUNCE -> announce(i);
                        case POLL_DISCOVERY -> {
                            polls[i]++;
                            silent[i] = false;
                            deliver(i);
                        }
                        case NONE, WAIT -> {}
                    }
                }
            }
        }
    }

    /** A message in flight. */
    private record Message(double atMs, int to, long version) {}

    /** Guards against instances that keep an outdated list although every second instance has the new version. */
    @Property(seed = "1", tries = 60)
    void anInstanceWithoutTheVersionPollsSoonAfterOthersAnnounceIt(
            @ForAll @IntRange(min = 2, max = 72) int instances,
            @ForAll @DoubleRange(min = 0, max = 0.5) double loss,
            @ForAll long seed) {
        Fleet fleet = new Fleet(instances, loss, seed);
        for (int i = 0; i < instances; i++) {
            fleet.silent[i] = i % 2 == 1;
        }
        for (int change = 0; change < 8; change++) {
            fleet.change();
            fleet.advance(3 * ListVersionGossip.MIN_POLL_DELAY_MS
                    + 3 * ListVersionGossip.DELAY_RANGE_PER_INSTANCE_MS * instances);
        }
        assertThat(fleet.heldVersions).containsOnly(8);
        assertThat(Arrays.stream(fleet.polls).max().orElseThrow()).isLessThanOrEqualTo(3);
    }

    /**
     * Guards against announcements by all instances: discovery answers all of them at the same time and a message takes
     * 5 to 30 ms, so all instances announced a version to all others, 72 times 71 messages per version.
     */
    @Property(seed = "1", tries = 60)
    void fewInstancesAnnounceAVersionAndNonePollsWhenAllHoldIt(
            @ForAll @IntRange(min = 2, max = 72) int instances, @ForAll long seed) {
        Fleet fleet = new Fleet(instances, 0, seed);
        int versions = 12;
        for (int change = 0; change < versions; change++) {
            fleet.change();
            fleet.advance(2 * ListVersionGossip.DELAY_RANGE_PER_INSTANCE_MS * instances + 100);
        }
        assertThat(fleet.messagesSent / (double) (instances - 1) / versions)
                .as("announcing instances per version")
                .isBetween(1.0, 3.0);
        assertThat(fleet.polls).containsOnly(0);
    }

    @Test
    void aSingleInstanceAnnouncesNothing() {
        ListVersionGossip alone = new ListVersionGossip(1, 1);
        assertThat(alone.onVersionApplied(0, 5)).isEqualTo(Action.NONE);
        assertThat(alone.nextTimerMs()).isInfinite();
    }

    /** Guards against a peer whose wrong announcements make all others poll, or keep them from announcing. */
    @Test
    void falseAnnouncementsCauseFewPollsAndHideNoNewVersion() {
        Fleet fleet = new Fleet(8, 0, 1);
        for (int step = 0; step < 600; step++) {
            for (int i = 0; i < 8; i++) {
                fleet.receiveAnnouncement(i, 1L << 40 | step);
            }
            fleet.advance(100);
        }
        assertThat(Arrays.stream(fleet.polls).max().orElseThrow()).isLessThanOrEqualTo(7);
        fleet.silent[3] = true;
        fleet.change();
        fleet.advance(ListVersionGossip.MAX_POLL_DELAY_MS);
        assertThat(fleet.heldVersions).containsOnly(1);
    }

    @Test
    void otherMessagesAreNoListAnnouncement() {
        assertThat(PeerMessage.readListVersion(new byte[0])).isNegative();
        assertThat(PeerMessage.readListVersion(new byte[9])).isNegative();
        assertThat(PeerMessage.readListVersion(new byte[] {'L', 0, 0, 0, 0, 0, 0, 0}))
                .isNegative();
        assertThat(PeerMessage.readListVersion(PeerMessage.listVersionAnnouncement(77)))
                .isEqualTo(77);
        assertThatThrownBy(() -> new ListVersionGossip(0, 1)).hasMessageContaining("0 instances");
    }
}

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

/** A tier of proxies before one discovery, in virtual time. */
class ListVersionGossipTest {
    private static final double STEP_MS = 10;

    /** Proxies of which some hear nothing on their watch until they ask anew. */
    private static final class Tier {
        final ListVersionGossip[] proxies;
        final long[] holds;
        final boolean[] silent;
        final int[] asked;
        final SplittableRandom random;
        final double loss;
        long discovery;
        double now;
        int messages;
        final List<Told> underWay = new ArrayList<>();

        Tier(int instances, double loss, long seed) {
            proxies = new ListVersionGossip[instances];
            holds = new long[instances];
            silent = new boolean[instances];
            asked = new int[instances];
            random = new SplittableRandom(seed);
            this.loss = loss;
            for (int i = 0; i < instances; i++) {
                proxies[i] = new ListVersionGossip(instances, seed + i);
            }
        }

        void change() {
            discovery++;
            for (int i = 0; i < proxies.length; i++) {
                if (!silent[i]) {
                    told(i);
                }
            }
        }

        void told(int i) {
            holds[i] = discovery;
            proxies[i].onVersionApplied(now, discovery);
        }

        void tell(int i) {
            for (int to = 0; to < proxies.length; to++) {
                if (to != i) {
                    messages++;
                    if (random.nextDouble() >= loss) {
                        underWay.add(new Told(now + 5 + 25 * random.nextDouble(), to, holds[i]));
                    }
                }
            }
        }

        void claim(int to, long version) {
            proxies[to].onPeerVersion(now, version);
        }

        void pass(double ms) {
            for (double end = now + ms; now < end; now += STEP_MS) {
                underWay.stream().filter(t -> t.at <= now).toList().forEach(t -> {
                    underWay.remove(t);
                    claim(t.to, PeerMessage.readListVersion(PeerMessage.listVersionAnnouncement(t.version)));
                });
                for (int i = 0; i < proxies.length; i++) {
                    switch (proxies[i].onTimer(now)) {
                        case ANNOUNCE -> tell(i);
                        case POLL_DISCOVERY -> {
                            asked[i]++;
                            silent[i] = false;
                            told(i);
                        }
                        case NONE, WAIT -> {}
                    }
                }
            }
        }
    }

    /** A message that is on its way. */
    private record Told(double at, int to, long version) {}

    /** Guards against a fleet that goes on with a list of which every second proxy could have told. */
    @Property(seed = "1", tries = 60)
    void anInstanceWithoutNewsPollsSoonAfterOthersAnnounceIt(
            @ForAll @IntRange(min = 2, max = 72) int instances,
            @ForAll @DoubleRange(min = 0, max = 0.5) double loss,
            @ForAll long seed) {
        Tier tier = new Tier(instances, loss, seed);
        for (int i = 0; i < instances; i++) {
            tier.silent[i] = i % 2 == 1;
        }
        for (int change = 0; change < 8; change++) {
            tier.change();
            tier.pass(3 * ListVersionGossip.MIN_POLL_DELAY_MS
                    + 3 * ListVersionGossip.DELAY_RANGE_PER_INSTANCE_MS * instances);
        }
        assertThat(tier.holds).containsOnly(8);
        assertThat(Arrays.stream(tier.asked).max().orElseThrow()).isLessThanOrEqualTo(3);
    }

    /**
     * What is told grows with what there is to tell. Seen: discovery tells all at once, and a message takes 5 to 30 ms,
     * so all of them told all others, 72 times 71 messages for a version.
     */
    @Property(seed = "1", tries = 60)
    void fewAnnounceAVersionAndNobodyPollsWhenAllHoldIt(
            @ForAll @IntRange(min = 2, max = 72) int instances, @ForAll long seed) {
        Tier tier = new Tier(instances, 0, seed);
        int versions = 12;
        for (int change = 0; change < versions; change++) {
            tier.change();
            tier.pass(2 * ListVersionGossip.DELAY_RANGE_PER_INSTANCE_MS * instances + 100);
        }
        assertThat(tier.messages / (double) (instances - 1) / versions)
                .as("who tell one version")
                .isBetween(1.0, 3.0);
        assertThat(tier.asked).containsOnly(0);
    }

    @Test
    void aSingleInstanceAnnouncesNothing() {
        ListVersionGossip alone = new ListVersionGossip(1, 1);
        assertThat(alone.onVersionApplied(0, 5)).isEqualTo(Action.NONE);
        assertThat(alone.nextTimerMs()).isInfinite();
    }

    /** Guards against a peer that makes all the others call, or keeps them from telling. */
    @Test
    void falseAnnouncementsCostFewPollsAndHideNoNews() {
        Tier tier = new Tier(8, 0, 1);
        for (int s = 0; s < 600; s++) {
            for (int i = 0; i < 8; i++) {
                tier.claim(i, 1L << 40 | s);
            }
            tier.pass(100);
        }
        assertThat(Arrays.stream(tier.asked).max().orElseThrow()).isLessThanOrEqualTo(7);
        tier.silent[3] = true;
        tier.change();
        tier.pass(ListVersionGossip.MAX_POLL_DELAY_MS);
        assertThat(tier.holds).containsOnly(1);
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

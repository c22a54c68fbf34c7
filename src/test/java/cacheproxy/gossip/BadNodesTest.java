package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.gossip.BadNodes.Node;
import org.junit.jupiter.api.Test;

class BadNodesTest {
    private final BadNodes bad = new BadNodes();

    private static Node node(int id) {
        return new Node(id, 0, 8);
    }

    @Test
    void threePeersInTwoZonesTakeANodeOut() {
        assertThat(bad.claimed(0, 1, 1, node(7), 11, 4)).isFalse();
        assertThat(bad.claimed(10, 1, 1, node(7), 11, 4))
                .as("the same once more")
                .isFalse();
        assertThat(bad.claimed(20, 5, 1, node(7), 11, 4)).isFalse();
        assertThat(bad.claimed(30, 9, 1, node(7), 11, 4)).as("all of one zone").isFalse();
        assertThat(bad.claimed(40, 2, 2, node(7), 11, 4)).isTrue();
        assertThat(bad.claimed(50, 3, 3, node(7), 11, 4)).as("once is enough").isFalse();
    }

    @Test
    void whatIsOldSaysNothing() {
        bad.claimed(0, 1, 1, node(7), 11, 4);
        bad.claimed(0, 2, 2, node(7), 11, 4);
        assertThat(bad.claimed(BadNodes.KEPT_MS + 1, 3, 3, node(7), 11, 4)).isFalse();
    }

    /** Of a hundred that find a node bad some tell it, and the others have nothing to add while that is fresh. */
    @Test
    void whatEnoughHaveSaidNobodyElseNeedsTo() {
        for (int peer = 0; peer < BadNodes.ENOUGH; peer++) {
            assertThat(bad.knownToAll(10 * peer, 7)).isFalse();
            bad.claimed(10 * peer, peer, 1 + peer % 2, node(7), 99, 4);
        }
        assertThat(bad.knownToAll(100, 7)).isTrue();
        assertThat(bad.knownToAll(100, 8)).isFalse();
        assertThat(bad.knownToAll(BadNodes.KEPT_MS / 2 + 100, 7))
                .as("it has to be said anew while it lasts")
                .isFalse();
        for (int peer = 0; peer < BadNodes.ENOUGH; peer++) {
            bad.claimed(0, peer, 1, node(9), 99, 4);
        }
        assertThat(bad.knownToAll(1, 9)).as("by one zone alone").isFalse();
    }

    /** Two liars are not three, and three take out a quarter of a zone at most. */
    @Test
    void noSetOfClaimsTakesOutMoreThanAPart() {
        int out = 0;
        for (int id = 0; id < 8; id++) {
            for (int liar = 1; liar <= 3; liar++) {
                out += bad.claimed(id, liar, liar, node(id), 11, 4) ? 1 : 0;
            }
        }
        assertThat(out).isEqualTo(8 / BadNodes.PART);
        assertThat(bad.claimed(9, 1, 1, new Node(99, 1, 8), 11, 4)).isFalse();
        assertThat(bad.claimed(9, 2, 2, new Node(99, 1, 8), 11, 4)).isFalse();
    }

    @Test
    void eachOf1100BadNodesIsDoubted() {
        int doubted = 0;
        for (int id = 0; id < 1100; id++) {
            for (int peer = 0; peer < BadNodes.LEAST; peer++) {
                doubted += bad.claimed(0, peer, peer, new Node(id, 0, 1100 * BadNodes.PART), 1024, 4) ? 1 : 0;
            }
        }
        assertThat(doubted).isEqualTo(1100);
    }
}

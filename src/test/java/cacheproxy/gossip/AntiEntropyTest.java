package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Peers are queried while discovery does not answer, at a limited rate. */
class AntiEntropyTest {
    private final AntiEntropy antiEntropy = new AntiEntropy(0);

    @Test
    void anInstanceThatDiscoveryAnswersQueriesNobody() {
        for (double now = 0; now < 60_000; now += 1800) {
            antiEntropy.onDiscoveryResponse(now);
            assertThat(antiEntropy.onTimer(now + 1799)).isFalse();
        }
    }

    @Test
    void anInstanceThatDiscoveryDoesNotAnswerQueriesRepeatedly() {
        int queries = 0;
        for (double now = 0; now <= 4000; now += 10) {
            queries += antiEntropy.onTimer(now) ? 1 : 0;
        }
        assertThat(queries).as("at 2, 2.5, 3, 3.5 and 4 s").isEqualTo(5);
    }

    @Test
    void failuresInARowLeadToOneQuery() {
        assertThat(antiEntropy.tryStartQuery(100)).isTrue();
        assertThat(antiEntropy.tryStartQuery(200)).isFalse();
        assertThat(antiEntropy.tryStartQuery(600)).isTrue();
        assertThat(antiEntropy.nextTimerMs()).isEqualTo(AntiEntropy.STALE_AFTER_MS);
    }

    @Test
    void aRandomPeerIsAnyOtherInstance() {
        SplittableRandom random = new SplittableRandom(1);
        Set<Integer> peers = new TreeSet<>();
        for (int i = 0; i < 200; i++) {
            peers.add(AntiEntropy.randomPeer(random, 2, 5));
        }
        assertThat(peers).containsExactly(0, 1, 3, 4);
        assertThat(AntiEntropy.randomPeer(random, 0, 1)).isNegative();
    }
}

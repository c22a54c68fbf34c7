package cacheproxy.model;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.NewsPlay.Failure;
import cacheproxy.model.NewsPlay.Result;
import cacheproxy.model.NewsPlay.Setup;
import cacheproxy.model.NewsPlay.Sharing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A list change reaches all instances in time after any discovery failure, with a capacity of three calls per second.
 */
class NewsPlayTest {
    private static final double CALLS_A_SECOND = 3;
    /** Instances must know a change within 6 s after discovery becomes available. */
    private static final double TOLD_MS = 6000;

    private static Result play(int instances, Failure failure, Sharing sharing, long seed) {
        return NewsPlay.of(new Setup(instances, failure, sharing, CALLS_A_SECOND, seed));
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void allKnowInTimeHoweverManyTheyAre(Failure failure) {
        for (int instances : new int[] {1, 7, 30, 100}) {
            for (long seed = 1; seed <= 3; seed++) {
                assertThat(play(instances, failure, Sharing.CHANGES, seed).worstMs())
                        .as("%d instances, seed %d", instances, seed)
                        .isLessThan(TOLD_MS);
            }
        }
    }

    /** Thirty calls take such a discovery ten seconds, and sharing versions alone doesn't save a call. */
    @Test
    void withoutPeersOrByVersionsAloneThirtyDoNot() {
        double alone = play(30, Failure.WATCHES_END, Sharing.NONE, 1).worstMs();
        assertThat(alone).isGreaterThan(TOLD_MS);
        assertThat(play(30, Failure.WATCHES_END, Sharing.VERSIONS, 1).worstMs()).isEqualTo(alone);
    }

    @Test
    void aSoundWatchCostsNoCallAndFewMessages() {
        Result result = play(100, Failure.NONE, Sharing.CHANGES, 1);
        assertThat(result.newCallsASecond()).isZero();
        assertThat(result.messages()).as("some two or three tell the 99 others").isLessThan(500);
    }

    @Test
    void theSameSeedGivesTheSamePlay() {
        assertThat(play(20, Failure.DOWN, Sharing.CHANGES, 7)).isEqualTo(play(20, Failure.DOWN, Sharing.CHANGES, 7));
    }
}

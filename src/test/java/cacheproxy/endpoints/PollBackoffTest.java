package cacheproxy.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Delays after failed polls: base, factor, limit, jitter, and deduction of the time that the poll took. */
class PollBackoffTest {
    private static final double BASE_MS = 6000.0 / 32;

    @Test
    void delaysDoubleUpToHalfOfTheTimeWithinWhichTheListHasToBeFresh() {
        PollBackoff backoff = new PollBackoff(10_000);
        SplittableRandom random = new SplittableRandom(1);
        for (int factor : new int[] {1, 2, 4, 8, 16, 16, 16}) {
            assertThat(backoff.nextDelayMs(0, random)).isBetween(factor * BASE_MS / 2, factor * BASE_MS);
        }
        backoff.reset();
        assertThat(backoff.nextDelayMs(0, random)).isBetween(BASE_MS / 2, BASE_MS);
    }

    @Test
    void pollDurationIsDeductedDownToTheBaseDelay() {
        PollBackoff backoff = new PollBackoff(10_000);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 10; i++) {
            assertThat(backoff.nextDelayMs(60_000, random)).isBetween(BASE_MS / 2, BASE_MS);
        }
    }

    @Test
    void aShorterPollIntervalShortensTheDelay() {
        assertThat(new PollBackoff(320).nextDelayMs(0, new SplittableRandom(1))).isBetween(5.0, 10.0);
    }

    @Test
    void delaysMatchReleasedVersions() {
        PollBackoff backoff = new PollBackoff(10_000);
        SplittableRandom random = new SplittableRandom(7);
        double[] delaysMs = new double[3];
        for (int i = 0; i < delaysMs.length; i++) {
            delaysMs[i] = backoff.nextDelayMs(0, random);
        }
        assertThat(delaysMs).containsExactly(130.2965389116817, 190.64780522402927, 712.7852552275813);
    }
}

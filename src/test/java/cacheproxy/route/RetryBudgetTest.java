package cacheproxy.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    /** For random event times: no more than the ratio of the requests, the minimum, and ten seconds of it saved. */
    @Property(tries = 200, seed = "71")
    void neverAllowsMoreThanItsRatioAndItsMinimum(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0, max = 2) double ratio,
            @ForAll @DoubleRange(min = 0, max = 20) double minPerSecond) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget(ratio, minPerSecond);
        double now = 1e12;
        double start = now;
        long requests = 0;
        long taken = 0;
        for (int i = 0; i < 3000; i++) {
            now += random.nextInt(20) == 0 ? random.nextInt(5000) : random.nextInt(3);
            if (random.nextBoolean()) {
                budget.onRequest(now);
                requests++;
            }
            taken += budget.tryTake(now) ? 1 : 0;
            assertThat((double) taken)
                    .isLessThanOrEqualTo(requests * ratio
                            + minPerSecond * (now - start) / 1000
                            + minPerSecond * RetryBudget.SAVED_MS / 1000
                            + 0.1);
        }
    }

    @Test
    void massFailureGetsNoMoreRetriesThanTheRatio() {
        RetryBudget budget = new RetryBudget(0.2, 0);
        int taken = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.onRequest(i);
            taken += budget.tryTake(i) ? 1 : 0;
        }
        assertThat(taken).isBetween(1990, 2000);
    }

    @Test
    void anIdleInstanceHasTheMinimumAndSavesTenSecondsOfIt() {
        RetryBudget budget = new RetryBudget(0, 2);
        int taken = 0;
        while (taken < 100 && budget.tryTake(0)) {
            taken++;
        }
        assertThat(taken).isEqualTo(20);
        assertThat(budget.tryTake(400)).isFalse();
        assertThat(budget.tryTake(600)).isTrue();
        assertThat(budget.tryTake(600)).isFalse();
        taken = 0;
        while (taken < 100 && budget.tryTake(1e9)) {
            taken++;
        }
        assertThat(taken).isEqualTo(20);
    }

    @Test
    void anInfiniteRatioAllowsEveryRetry() {
        RetryBudget budget = new RetryBudget(Double.POSITIVE_INFINITY, 0);
        for (int i = 0; i < 1000; i++) {
            assertThat(budget.tryTake(0)).isTrue();
        }
    }
}

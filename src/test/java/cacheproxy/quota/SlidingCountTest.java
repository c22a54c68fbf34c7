package cacheproxy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Compares the count with an exact log. */
class SlidingCountTest {
    private record Counted(double at, long amount) {}

    private static long exact(List<Counted> log, double from, double to) {
        return log.stream()
                .filter(c -> c.at > from && c.at <= to)
                .mapToLong(Counted::amount)
                .sum();
    }

    @Property(seed = "1", tries = 300)
    void theSumIsBetweenTheExactSumAndThatOfOneMoreStep(
            @ForAll long seed, @ForAll @IntRange(min = 1000, max = 3_600_000) int window) {
        SplittableRandom random = new SplittableRandom(seed);
        SlidingCount count = new SlidingCount(window);
        List<Counted> log = new ArrayList<>();
        double now = 1e12 + random.nextDouble() * window;
        double step = (double) window / SlidingCount.STEPS;
        for (int i = 0; i < 150; i++) {
            now += random.nextInt(4) == 0 ? 0 : random.nextDouble() * window / (random.nextInt(60) + 1);
            if (random.nextInt(5) == 0 && !log.isEmpty()) {
                Counted back = log.remove(random.nextInt(log.size()));
                count.subtract(now, back.at, back.amount);
            } else {
                Counted c = new Counted(now, random.nextInt(1000));
                log.add(c);
                count.add(now, c.amount);
            }
            assertThat(count.sum(now))
                    .isBetween(exact(log, now - window, now), exact(log, now - window - step - 1e-3, now));
        }
    }

    @Property(seed = "1", tries = 300)
    void capacityIsAvailableAfterTheReportedWait(@ForAll long seed, @ForAll @IntRange(min = 1, max = 500) int limit) {
        SplittableRandom random = new SplittableRandom(seed);
        SlidingCount count = new SlidingCount(1000);
        double now = 1e9 + random.nextDouble() * 1000;
        for (int i = 0; i < 200; i++) {
            now += random.nextDouble() * 40;
            long amount = random.nextInt(limit) + 1L;
            double wait = count.timeUntilCapacityMs(now, amount, limit);
            if (wait > 0) {
                assertThat(wait).isLessThanOrEqualTo(1000 + 1000.0 / SlidingCount.STEPS);
                if (random.nextBoolean()) {
                    now += wait + 1e-6;
                    assertThat(count.sum(now) + amount).isLessThanOrEqualTo(limit);
                }
            } else {
                count.add(now, amount);
            }
        }
    }

    @Test
    void aSteadyRateIsAdmittedUpToOnePercentBelowTheLimit() {
        SlidingCount count = new SlidingCount(1000);
        int admitted = 0;
        for (double now = 1e9; now < 1e9 + 100_000; now += 0.5) {
            if (count.sum(now) < 1000) {
                count.add(now, 1);
                admitted++;
            }
        }
        assertThat(admitted).isBetween(98_900, 100_000);
    }
}

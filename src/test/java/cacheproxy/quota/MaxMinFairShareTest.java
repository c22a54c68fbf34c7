package cacheproxy.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.data.Offset;

class MaxMinFairShareTest {
    @Property(seed = "1", tries = 500)
    void sharesNeverExceedDemandsAndNothingIsLeftWhileADemandIsUnmet(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int many) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] wants = new double[many + 2];
        double[] weights = new double[many + 2];
        double[] given = new double[many + 2];
        double wanted = 0;
        for (int i = 0; i < many; i++) {
            wants[i] = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 100;
            weights[i] = 0.01 + random.nextDouble() * 10;
            wanted += wants[i];
        }
        double free = random.nextInt(4) == 0 ? -5 : random.nextDouble() * 60 * many;
        MaxMinFairShare.share(free, wants, weights, given, many);
        double sum = 0;
        double level = 0;
        for (int i = 0; i < many; i++) {
            assertThat(given[i]).isBetween(0.0, wants[i]);
            sum += given[i];
            if (given[i] < wants[i] - 1e-6) {
                level = given[i] / weights[i];
            }
        }
        assertThat(sum).isCloseTo(Math.min(Math.max(0, free), wanted), Offset.offset(1e-6));
        for (int i = 0; i < many && level > 0; i++) {
            // Unmet demands get equal shares per weight, and no demand gets more per weight than these.
            assertThat(given[i] / weights[i]).isLessThanOrEqualTo(level + 1e-6);
            assertThat(given[i] < wants[i] - 1e-6 ? given[i] / weights[i] : level)
                    .isCloseTo(level, Offset.offset(1e-6));
        }
    }
}

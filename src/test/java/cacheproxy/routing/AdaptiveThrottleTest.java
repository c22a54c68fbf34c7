package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdaptiveThrottleTest {
    private static final double EXACT = 1e-9;

    @Test
    void nothingIsInExcessWhileAllCompletesInTime() {
        AdaptiveThrottle throttle = new AdaptiveThrottle();
        for (int i = 0; i < 100; i++) {
            throttle.recordRequest(i);
            throttle.recordCompletedInTime(i);
        }
        assertThat(throttle.excess(100)).isNegative();
        assertThat(throttle.isOverloaded(100)).isFalse();
    }

    @Test
    void theExcessIsWhatHasNotCompletedWithHeadroom() {
        AdaptiveThrottle throttle = new AdaptiveThrottle();
        for (int i = 0; i < 99; i++) {
            throttle.recordRequest(0);
        }
        for (int i = 0; i < 50; i++) {
            throttle.recordCompletedInTime(0);
        }
        assertThat(throttle.excess(0)).isEqualTo((99 - 1.2 * 50 - 1) / 100, within(EXACT));
        assertThat(throttle.overloadRatio(0)).isEqualTo(100 / 51.0, within(EXACT));
        assertThat(throttle.isOverloaded(0)).isTrue();
        assertThat(throttle.excess(60_000)).as("a minute without requests").isNegative();
    }

    @Test
    void countsHalveInTheirHalfLifeAndAreTakenOver() {
        AdaptiveThrottle throttle = new AdaptiveThrottle();
        for (int i = 0; i < 8; i++) {
            throttle.recordRequest(0);
        }
        throttle.withdrawRequest(0);
        LoadCount load = throttle.counts(AdaptiveThrottle.HALF_LIFE_MS);
        assertThat(load.requested()).isEqualTo(3.5, within(EXACT));
        AdaptiveThrottle successor = new AdaptiveThrottle();
        successor.restore(0, load);
        assertThat(successor.counts(0)).isEqualTo(load);
    }

    /** Max-min fairness: all requests of a tenant within its quota are admitted; the rest go to the other tenant. */
    @Test
    void fairSharesTakeTheExcessFromTheTenantOverItsQuota() {
        FairShares shares = new FairShares(List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 10)));
        for (int i = 0; i < 100; i++) {
            shares.recordRequest(0, 0);
            if (i % 10 == 0) {
                shares.recordRequest(0, 1);
            }
        }
        assertThat(shares.rejectedFraction(1, 0.5)).as("10 of 55 admitted").isEqualTo(0, within(1e-6));
        assertThat(shares.rejectedFraction(0, 0.5)).as("45 of 100 admitted").isEqualTo(0.55, within(1e-6));
    }
}

package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.backoff.ExponentialBackoff;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {
    private static final ExponentialBackoff BACKOFF = ExponentialBackoff.ofDoublings(100, 2);

    @Test
    void threeFailuresInARowOpenItAndASuccessClosesIt() {
        CircuitBreaker breaker = new CircuitBreaker();
        breaker.recordFailure(1000, BACKOFF);
        breaker.recordFailure(1000, BACKOFF);
        assertThat(breaker.isOpen(1000)).isFalse();
        breaker.recordFailure(1000, BACKOFF);
        assertThat(breaker.isOpen(1099)).isTrue();
        assertThat(breaker.isOpen(1100)).isFalse();
        breaker.recordFailure(1100, BACKOFF);
        assertThat(breaker.isOpen(1299)).as("twice as long").isTrue();
        breaker.recordSuccess();
        assertThat(breaker.isOpen(1100)).isFalse();
        breaker.recordFailure(1100, BACKOFF);
        assertThat(breaker.isOpen(1100))
                .as("the count of failures starts at 0 again")
                .isFalse();
    }

    @Property
    void aDelayDoublesUpToItsCap(@ForAll @IntRange(max = 40) int earlierFailures) {
        double delayMs = BACKOFF.delayMs(earlierFailures);
        assertThat(delayMs).isEqualTo(earlierFailures == 0 ? 100 : earlierFailures == 1 ? 200 : 400);
    }
}

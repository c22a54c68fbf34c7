package cacheproxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how many lines of each kind are logged. */
class LogRateLimiterTest {
    private static final double START_MS = 1e12;

    @Test
    void eachKindHasItsOwnBurstAndSuppressedEventsAreReported() {
        LogRateLimiter budget = new LogRateLimiter();
        for (int i = 0; i < LogRateLimiter.BURST; i++) {
            assertThat(budget.admit(START_MS, EventKind.SERVER_PROTOCOL_ERROR)).isZero();
        }
        assertThat(budget.admit(START_MS, EventKind.SERVER_PROTOCOL_ERROR)).isNegative();
        assertThat(budget.admit(START_MS, EventKind.SERVER_PROTOCOL_ERROR)).isNegative();
        assertThat(budget.admit(START_MS, EventKind.RULE_VIOLATION)).isZero();
        assertThat(budget.admit(START_MS + 1000 / LogRateLimiter.PER_SECOND, EventKind.SERVER_PROTOCOL_ERROR))
                .isEqualTo(2);
    }

    /** An incident a week later is logged, however many events were suppressed before. */
    @Test
    void eventsOverAProcesssLifetimeDoNotSuppressALaterOne() {
        LogRateLimiter budget = new LogRateLimiter();
        double now = START_MS;
        for (int i = 0; i < 10_000; i++) {
            budget.admit(now += 10, EventKind.SERVER_PROTOCOL_ERROR);
        }
        assertThat(budget.admit(now + 7 * 86_400_000.0, EventKind.SERVER_PROTOCOL_ERROR))
                .isPositive();
    }
}

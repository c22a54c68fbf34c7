package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the time limits for sending a command. */
class ReadTimeoutTest {
    private static final double PERIOD_MS = ReadTimeout.TIMEOUT_MS;

    @Test
    void aNewConnectionHasOnePeriodForItsFirstCommand() {
        ReadTimeout timeout = ReadTimeout.forNewConnection(100);
        timeout.lineStarted(2000);
        assertThat(timeout.expiresAtMs()).isEqualTo(100 + PERIOD_MS);
        timeout.commandCompleted();
        assertThat(timeout.expiresAtMs()).isInfinite();
    }

    @Test
    void anAdoptedConnectionMayBeIdle() {
        assertThat(ReadTimeout.forAdoptedConnection(100).expiresAtMs()).isInfinite();
    }

    @Test
    void furtherBytesOfALineDoNotRestartItsPeriod() {
        ReadTimeout timeout = ReadTimeout.forAdoptedConnection(0);
        timeout.lineStarted(1000);
        timeout.lineStarted(3000);
        assertThat(timeout.expiresAtMs()).isEqualTo(1000 + PERIOD_MS);
    }

    @Test
    void aValueExtendsItsPeriodByReceivedBytesAndMayNotPause() {
        ReadTimeout timeout = ReadTimeout.forAdoptedConnection(0);
        timeout.valueStarted(1000);
        assertThat(timeout.expiresAtMs()).isEqualTo(1000 + PERIOD_MS);
        timeout.valueReceived(1 << 20, 3000);
        assertThat(timeout.expiresAtMs()).isEqualTo(3000 + PERIOD_MS);
        timeout.valueReceived(1, 5000);
        assertThat(timeout.expiresAtMs()).isEqualTo(5000 + PERIOD_MS);
    }

    /** The deadline of a value is limited by its number of bytes, whatever their distribution in time. */
    @Property(tries = 200)
    void aSlowValueTimesOutAfterTheTimeForItsBytes(
            @ForAll @IntRange(min = 1, max = 1000) int bytes,
            @ForAll @DoubleRange(min = 1, max = 2000) double everyMs) {
        ReadTimeout timeout = ReadTimeout.forAdoptedConnection(0);
        timeout.valueStarted(0);
        for (int i = 1; i <= bytes && i * everyMs < timeout.expiresAtMs(); i++) {
            timeout.valueReceived(1, i * everyMs);
        }
        assertThat(timeout.expiresAtMs()).isLessThanOrEqualTo(PERIOD_MS + bytes / ReadTimeout.MIN_VALUE_BYTES_PER_MS);
    }

    @Test
    void timeWhileTheProxyPausesReadingDoesNotCount() {
        ReadTimeout timeout = ReadTimeout.forAdoptedConnection(0);
        timeout.valueStarted(1000);
        timeout.setPaused(true, 1500);
        assertThat(timeout.expiresAtMs()).isInfinite();
        timeout.setPaused(true, 1700);
        timeout.setPaused(false, 6500);
        assertThat(timeout.expiresAtMs()).isEqualTo(6000 + PERIOD_MS);
    }

    @Test
    void aPeriodThatStartsDuringAPauseCountsFromItsEnd() {
        ReadTimeout timeout = ReadTimeout.forAdoptedConnection(0);
        timeout.setPaused(true, 500);
        timeout.valueStarted(1000);
        timeout.setPaused(false, 4000);
        assertThat(timeout.expiresAtMs()).isEqualTo(4000 + PERIOD_MS);
    }
}

package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** How long a client may take over a request that it has begun. */
class ReadTimeoutTest {
    private static final double SPAN_MS = ReadTimeout.SPAN_MS;

    @Test
    void aConnectionHasOneSpanForItsFirstCommandWhateverComesOfIt() {
        ReadTimeout timeout = ReadTimeout.connected(100);
        timeout.lineBegun(2000);
        assertThat(timeout.expiresAtMs()).isEqualTo(100 + SPAN_MS);
        timeout.commandEnded();
        assertThat(timeout.expiresAtMs()).isInfinite();
    }

    @Test
    void aConnectionOfAnotherProcessMayRest() {
        assertThat(ReadTimeout.adopted(100).expiresAtMs()).isInfinite();
    }

    @Test
    void furtherBytesOfALineDoNotRenewItsSpan() {
        ReadTimeout timeout = ReadTimeout.adopted(0);
        timeout.lineBegun(1000);
        timeout.lineBegun(3000);
        assertThat(timeout.expiresAtMs()).isEqualTo(1000 + SPAN_MS);
    }

    @Test
    void aValueEarnsTimeByWhatHasComeOfItAndMayNotStop() {
        ReadTimeout timeout = ReadTimeout.adopted(0);
        timeout.valueBegun(1000);
        assertThat(timeout.expiresAtMs()).isEqualTo(1000 + SPAN_MS);
        timeout.valueReceived(1 << 20, 3000);
        assertThat(timeout.expiresAtMs()).isEqualTo(3000 + SPAN_MS);
        timeout.valueReceived(1, 5000);
        assertThat(timeout.expiresAtMs()).isEqualTo(5000 + SPAN_MS);
    }

    /** However its bytes are spread, a value of so many has ended by what they earn. */
    @Property(tries = 200)
    void aDripEndsWhenItsBytesHaveEarnedNoMore(
            @ForAll @IntRange(min = 1, max = 1000) int bytes,
            @ForAll @DoubleRange(min = 1, max = 2000) double everyMs) {
        ReadTimeout timeout = ReadTimeout.adopted(0);
        timeout.valueBegun(0);
        for (int i = 1; i <= bytes && i * everyMs < timeout.expiresAtMs(); i++) {
            timeout.valueReceived(1, i * everyMs);
        }
        assertThat(timeout.expiresAtMs()).isLessThanOrEqualTo(SPAN_MS + bytes / ReadTimeout.MIN_BYTES_PER_MS);
    }

    @Test
    void timeInWhichTheProxyBlocksTheClientDoesNotCount() {
        ReadTimeout timeout = ReadTimeout.adopted(0);
        timeout.valueBegun(1000);
        timeout.blocked(true, 1500);
        assertThat(timeout.expiresAtMs()).isInfinite();
        timeout.blocked(true, 1700);
        timeout.blocked(false, 6500);
        assertThat(timeout.expiresAtMs()).isEqualTo(6000 + SPAN_MS);
    }

    @Test
    void aSpanThatBeginsWhileTheClientIsBlockedCountsFromTheEndOfThat() {
        ReadTimeout timeout = ReadTimeout.adopted(0);
        timeout.blocked(true, 500);
        timeout.valueBegun(1000);
        timeout.blocked(false, 4000);
        assertThat(timeout.expiresAtMs()).isEqualTo(4000 + SPAN_MS);
    }
}

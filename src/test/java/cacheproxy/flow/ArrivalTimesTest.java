package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the arrival times of unprocessed bytes. */
class ArrivalTimesTest {
    @Test
    void eachByteHasTheTimeOfItsRead() {
        ArrivalTimes times = new ArrivalTimes();
        times.received(10, 100, true);
        times.received(5, 200, false);
        assertThat(times.arrivedAtMs(1)).isEqualTo(100);
        assertThat(times.arrivedAtMs(10)).isEqualTo(100);
        assertThat(times.arrivedAtMs(11)).isEqualTo(200);
        assertThat(times.arrivedAtMs(15)).isEqualTo(200);
        assertThatThrownBy(() -> times.arrivedAtMs(16)).hasMessageContaining("16 of 15");
    }

    @Test
    void bytesThatMayHaveWaitedGetTheStartOfTheWait() {
        ArrivalTimes times = new ArrivalTimes();
        times.backlogPossible(100);
        times.backlogPossible(300);
        times.received(10, 900, false);
        assertThat(times.arrivedAtMs(10)).isEqualTo(100);
    }

    /** The sender was blocked by the full buffer and resumes as soon as there is space. */
    @Test
    void bytesRightAfterABacklogCountAsPartOfIt() {
        ArrivalTimes times = new ArrivalTimes();
        times.backlogPossible(100);
        times.received(10, 900, false);
        times.backlogDrained(900);
        times.received(10, 901, false);
        times.backlogDrained(901);
        times.received(10, 901 + ArrivalTimes.REFILL_MS + 1, false);
        assertThat(times.arrivedAtMs(20)).isEqualTo(100);
        assertThat(times.arrivedAtMs(21)).isEqualTo(901 + ArrivalTimes.REFILL_MS + 1);
    }

    /** The kernels buffer no more than the maximum backlog; the rest of a long value is sent only after the drain. */
    @Test
    void bytesBeyondTheMaximumBacklogHaveNotWaited() {
        ArrivalTimes times = new ArrivalTimes();
        times.backlogPossible(100);
        times.received(ArrivalTimes.MAX_BACKLOG_BYTES + 1, 2000, false);
        times.backlogDrained(2000);
        times.received(10, 2001, false);
        assertThat(times.arrivedAtMs(ArrivalTimes.MAX_BACKLOG_BYTES + 1)).isEqualTo(100);
        assertThat(times.arrivedAtMs(ArrivalTimes.MAX_BACKLOG_BYTES + 2)).isEqualTo(2001);
    }

    @Test
    void bytesOfAnIdleClientHaveNotWaited() {
        ArrivalTimes times = new ArrivalTimes();
        times.backlogPossible(100);
        times.received(10, 900, false);
        times.backlogDrained(900);
        times.received(10, 903, true);
        assertThat(times.arrivedAtMs(11)).isEqualTo(903);
    }

    /** The number of segments is bounded; merging may make an arrival time too early, but never too late. */
    @Property(tries = 100)
    void noArrivalTimeIsTooLate(@ForAll @Size(min = 1, max = 600) List<@IntRange(min = 1, max = 50) Integer> reads) {
        ArrivalTimes times = new ArrivalTimes();
        List<Double> actualMs = new ArrayList<>();
        double now = 0;
        for (int bytes : reads) {
            now += 30;
            times.received(bytes, now, false);
            times.backlogDrained(now);
            for (int i = 0; i < bytes; i++) {
                actualMs.add(now);
            }
        }
        for (int i = 0; i < actualMs.size(); i++) {
            assertThat(times.arrivedAtMs(i + 1)).isLessThanOrEqualTo(actualMs.get(i));
        }
        assertThat(times.received()).isEqualTo(actualMs.size());
    }
}

package cacheproxy.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a run counts. Histograms hold microseconds to three digits; latency counts from the time at which a request was
 * meant to be sent, so no wait is left out because the wait itself held up the next request (coordinated omission,
 * after Gil Tene). Belongs to the generator's event loop; reads from outside see whole numbers.
 */
final class Recorder {
    /** The most seconds that stand in the time plot; longer runs join several seconds in one row. */
    private static final int MAX_ROWS = 1200;
    /** Longer waits are counted as this long: a day. */
    private static final long MAX_MICROS = 86_400_000_000L;

    /** One row of the time plot. Latencies in milliseconds. */
    record Row(
            double second,
            long sent,
            long served,
            long refused,
            long failed,
            long unanswered,
            double p50,
            double p99,
            double max) {
        /** This row and another of the same time as one: counts added, of latencies the worse. */
        Row with(Row b) {
            return new Row(
                    Math.max(second, b.second),
                    sent + b.sent,
                    served + b.served,
                    refused + b.refused,
                    failed + b.failed,
                    unanswered + b.unanswered,
                    Math.max(p50, b.p50),
                    Math.max(p99, b.p99),
                    Math.max(max, b.max));
        }
    }

    final Histogram latency = new Histogram(MAX_MICROS, 3);
    final Histogram lag = new Histogram(MAX_MICROS, 3);
    private final Histogram span = new Histogram(MAX_MICROS, 3);
    private final List<Row> rows = new ArrayList<>();
    private int secondsPerRow = 1;
    private int secondsInSpan;
    private long[] before = new long[5];

    long sent;
    long served;
    long refused;
    long failed;
    long unanswered;
    long connectErrors;
    long resets;
    long outOfTurn;
    long resent;
    long opened;
    long outOfRoom;
    /** How many connections fewer than asked for the process's descriptors allow. */
    long connectionsShort;

    Recorder() {
        latency.setStartTimeStamp(System.currentTimeMillis());
        lag.setStartTimeStamp(System.currentTimeMillis());
    }

    /** A request has left. */
    void sent(long lagNanos) {
        sent++;
        lag.recordValue(micros(lagNanos));
    }

    /** A request has ended this long after it was meant to be sent. */
    void ended(long nanos) {
        long micros = micros(nanos);
        latency.recordValue(micros);
        span.recordValue(micros);
    }

    private static long micros(long nanos) {
        return Math.min(MAX_MICROS, Math.max(0, nanos / 1000));
    }

    long requests() {
        return served + refused + failed + unanswered;
    }

    /** A second is over. */
    void second(double atSecond) {
        if (++secondsInSpan < secondsPerRow) {
            return;
        }
        long[] now = {sent, served, refused, failed, unanswered};
        rows.add(new Row(
                atSecond,
                now[0] - before[0],
                now[1] - before[1],
                now[2] - before[2],
                now[3] - before[3],
                now[4] - before[4],
                span.getValueAtPercentile(50) / 1e3,
                span.getValueAtPercentile(99) / 1e3,
                span.getMaxValue() / 1e3));
        before = now;
        span.reset();
        secondsInSpan = 0;
        if (rows.size() >= MAX_ROWS) {
            thin();
        }
    }

    /** The run is over: what has come since the last row joins that one, as a row of its own would seem a fall. */
    void end(double atSecond) {
        secondsInSpan = secondsPerRow - 1;
        second(atSecond);
        if (rows.size() > 1) {
            Row part = rows.remove(rows.size() - 1);
            rows.add(rows.remove(rows.size() - 1).with(part));
        }
    }

    /** Halves the rows and doubles the seconds that further ones stand for. */
    private void thin() {
        List<Row> half = new ArrayList<>();
        for (int i = 0; i + 1 < rows.size(); i += 2) {
            half.add(rows.get(i).with(rows.get(i + 1)));
        }
        rows.clear();
        rows.addAll(half);
        secondsPerRow *= 2;
    }

    List<Row> rows() {
        return List.copyOf(rows);
    }

    Row lastRow() {
        return rows.isEmpty() ? null : rows.get(rows.size() - 1);
    }
}

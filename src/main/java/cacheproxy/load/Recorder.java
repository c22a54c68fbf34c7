package cacheproxy.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The counters and histograms of a run. Histograms hold microseconds with three significant digits. Latency is measured
 * from the scheduled send time, which avoids coordinated omission (Gil Tene): a wait still counts if it delays the next
 * request. Confined to the generator's event loop.
 */
final class Recorder {
    /** Maximum number of rows in the time series; longer runs combine several seconds into one row. */
    private static final int MAX_ROWS = 1200;
    /** Longer times are recorded as this one: a day. */
    private static final long MAX_MICROS = 86_400_000_000L;

    /** One row of the time series. Latencies are in milliseconds. */
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
        /** Combines this row with another: counts are added, of each latency the higher is taken. */
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
    /** Number of configured connections that the file descriptor limit rules out. */
    long connectionsShort;

    Recorder() {
        latency.setStartTimeStamp(System.currentTimeMillis());
        lag.setStartTimeStamp(System.currentTimeMillis());
    }

    /** Records a request that was sent this long after its scheduled time. */
    void sent(long lagNanos) {
        sent++;
        lag.recordValue(micros(lagNanos));
    }

    /** Records a request that ended this long after its scheduled send time. */
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

    /** Called after each second; adds a row when the row's seconds are complete. */
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
            mergeRowPairs();
        }
    }

    /** Ends the run. Counts since the last row are added to it, as a partial row would look like a drop in the rate. */
    void end(double atSecond) {
        secondsInSpan = secondsPerRow - 1;
        second(atSecond);
        if (rows.size() > 1) {
            Row part = rows.remove(rows.size() - 1);
            rows.add(rows.remove(rows.size() - 1).with(part));
        }
    }

    /** Combines rows in pairs and doubles the number of seconds per further row. */
    private void mergeRowPairs() {
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

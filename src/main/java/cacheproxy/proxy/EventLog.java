package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogBudget;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/**
 * Lines on standard error, each with the stable name of its kind: {@code kind: what happened}. Bounded by rate for each
 * kind, with the number left out told. On the event loop only.
 */
final class EventLog {
    private static final int MAX_BYTES = 500;

    private final PrintStream out;
    private final DoubleSupplier nowMs;
    private final LogBudget budget = new LogBudget();

    /** {@code nowMs}: a monotonic clock in milliseconds. */
    EventLog(PrintStream out, DoubleSupplier nowMs) {
        this.out = out;
        this.nowMs = nowMs;
    }

    /** Logs an event, if there is room for one of its kind. */
    void log(EventKind kind, String what) {
        long leftOut = budget.admit(nowMs.getAsDouble(), kind);
        if (leftOut < 0) {
            return;
        }
        String line = kind == EventKind.INFO ? what : kind.key() + ": " + what;
        out.println(shortened(line) + (leftOut > 0 ? " (" + leftOut + " more were left out)" : ""));
    }

    private static String shortened(String line) {
        return line.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES ? line.substring(0, MAX_BYTES) : line;
    }
}

package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.LogRateLimiter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/**
 * Writes events to a stream, a line each: {@code kind: text key=value ...}. The rate of each kind is limited; the next
 * line of a kind ends with the number of suppressed ones, {@code suppressed=N}. Event loop only.
 */
final class EventLog {
    /** A line of more bytes is truncated to as many characters, before {@code suppressed=N}. */
    private static final int MAX_BYTES = 500;

    private final PrintStream out;
    private final DoubleSupplier nowMs;
    private final LogRateLimiter budget = new LogRateLimiter();

    /** {@code nowMs}: a monotonic clock in milliseconds. */
    EventLog(PrintStream out, DoubleSupplier nowMs) {
        this.out = out;
        this.nowMs = nowMs;
    }

    /** Logs an event, within the rate limit of its kind. */
    void log(EventKind kind, LogMessage message) {
        long suppressed = budget.admit(nowMs.getAsDouble(), kind);
        if (suppressed >= 0) {
            write(kind, message.toString(), suppressed);
        }
    }

    /** Logs an event, within the rate limit of its kind. */
    void log(EventKind kind, String text) {
        long suppressed = budget.admit(nowMs.getAsDouble(), kind);
        if (suppressed >= 0) {
            write(kind, text, suppressed);
        }
    }

    private void write(EventKind kind, String text, long suppressed) {
        String line = truncated(kind.key() + ": " + text);
        out.println(suppressed > 0 ? line + " suppressed=" + suppressed : line);
    }

    private static String truncated(String line) {
        return line.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES ? line.substring(0, MAX_BYTES) : line;
    }
}

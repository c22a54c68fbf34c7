package cacheproxy.state;

/**
 * Counts the bytes written in each minute, so that changes that are not urgent wait for the next minute once the limit
 * is reached. A minute begins with the first write after the previous minute has ended. Times are of the monotonic
 * clock.
 */
final class WriteBudget {
    private static final double MINUTE_MS = 60_000;

    private final long maxBytesPerMinute;
    private double minuteStartMs = Double.NEGATIVE_INFINITY;
    private long bytesThisMinute;

    WriteBudget(long maxBytesPerMinute) {
        this.maxBytesPerMinute = maxBytesPerMinute;
    }

    /** Records that this many bytes have been written. */
    void written(double nowMs, long bytes) {
        if (nowMs - minuteStartMs >= MINUTE_MS) {
            minuteStartMs = nowMs;
            bytesThisMinute = 0;
        }
        bytesThisMinute += bytes;
    }

    /** When a change that is not urgent may be written; in the past if it may be written now. */
    double availableAtMs() {
        return bytesThisMinute >= maxBytesPerMinute ? minuteStartMs + MINUTE_MS : Double.NEGATIVE_INFINITY;
    }
}

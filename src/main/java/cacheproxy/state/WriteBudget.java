package cacheproxy.state;

/**
 * Counts the bytes written in each minute, so that what is not urgent can wait for the next one when the disk has taken
 * enough. A minute begins with the first write after the last one has ended. Times are of the monotonic clock.
 */
final class WriteBudget {
    private static final double MINUTE_MS = 60_000;

    private final long maxBytesPerMinute;
    private double minuteStartMs = Double.NEGATIVE_INFINITY;
    private long bytesThisMinute;

    WriteBudget(long maxBytesPerMinute) {
        this.maxBytesPerMinute = maxBytesPerMinute;
    }

    /** So many bytes have been written. */
    void written(double nowMs, long bytes) {
        if (nowMs - minuteStartMs >= MINUTE_MS) {
            minuteStartMs = nowMs;
            bytesThisMinute = 0;
        }
        bytesThisMinute += bytes;
    }

    /** From when on something that is not urgent may be written; in the past where it may be now. */
    double availableAtMs() {
        return bytesThisMinute >= maxBytesPerMinute ? minuteStartMs + MINUTE_MS : Double.NEGATIVE_INFINITY;
    }
}

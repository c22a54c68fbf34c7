package cacheproxy.flow;

/**
 * The delay after failures in a row: it starts at a base and doubles with each failure up to a cap. Has no jitter: for
 * operations that don't meet those of other instances. Not thread-safe.
 */
public final class ExponentialBackoff {
    private static final double FACTOR = 2;

    private final double baseMs;
    private final double capMs;
    private double nextDelayMs;

    /**
     * Begins without a failure.
     *
     * @param baseMs the delay after the first failure, in milliseconds
     * @param capMs the longest delay, in milliseconds
     */
    public ExponentialBackoff(double baseMs, double capMs) {
        this.baseMs = baseMs;
        this.capMs = capMs;
        nextDelayMs = baseMs;
    }

    /** The operation has succeeded: the next failure is the first. */
    public void reset() {
        nextDelayMs = baseMs;
    }

    /** The operation has failed; the delay until it may be tried again, in milliseconds. */
    public double nextDelayMs() {
        double delayMs = nextDelayMs;
        nextDelayMs = Math.min(capMs, FACTOR * delayMs);
        return delayMs;
    }
}

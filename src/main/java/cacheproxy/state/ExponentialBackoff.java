package cacheproxy.state;

/**
 * The delay between attempts of an operation that fails: it starts at a base and doubles with each failure up to a cap.
 * Has no jitter: the disk is this instance's alone.
 */
final class ExponentialBackoff {
    private static final double FACTOR = 2;

    private final double baseMs;
    private final double capMs;
    private double nextDelayMs;

    /** {@code baseMs}: the delay after the first failure; {@code capMs}: the longest delay. Both in milliseconds. */
    ExponentialBackoff(double baseMs, double capMs) {
        this.baseMs = baseMs;
        this.capMs = capMs;
        reset();
    }

    /** The operation has succeeded. */
    void reset() {
        nextDelayMs = baseMs;
    }

    /** The operation has failed; the delay until the next attempt, in milliseconds. */
    double nextDelayMs() {
        double delayMs = nextDelayMs;
        nextDelayMs = Math.min(capMs, FACTOR * delayMs);
        return delayMs;
    }
}

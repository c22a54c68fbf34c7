package cacheproxy.endpoints;

/** A delay that doubles with each failure in a row, up to a limit. Times in milliseconds. Not thread-safe. */
final class ExponentialBackoff {
    private final double baseMs;
    private final int maxDoublings;
    private int failures;

    /**
     * Without a failure yet.
     *
     * @param baseMs the delay before the first failure
     * @param maxDoublings how often it is doubled at most, 0 to 30
     */
    ExponentialBackoff(double baseMs, int maxDoublings) {
        this.baseMs = baseMs;
        this.maxDoublings = maxDoublings;
    }

    /** Something has succeeded: the delay is the shortest again. */
    void reset() {
        failures = 0;
    }

    /** Something has failed: the delay doubles unless it is the longest already. */
    void recordFailure() {
        failures++;
    }

    /** The delay as it stands. */
    double delayMs() {
        return delayMs(1);
    }

    /** The same times a jitter, 0 to 1. */
    double delayMs(double jitter) {
        return baseMs * jitter * (1 << Math.min(failures, maxDoublings));
    }
}

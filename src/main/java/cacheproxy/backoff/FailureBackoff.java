package cacheproxy.backoff;

/** The backoff of one operation, with its count of failures in a row. Times in milliseconds. Not thread-safe. */
public final class FailureBackoff {
    private final ExponentialBackoff backoff;
    private int failures;

    /** Begins without a failure. */
    public FailureBackoff(ExponentialBackoff backoff) {
        this.backoff = backoff;
    }

    /** The operation has succeeded: the next failure is the first. */
    public void reset() {
        failures = 0;
    }

    /** The operation has failed: the delay doubles unless it is the longest already. */
    public void recordFailure() {
        failures++;
    }

    /** The delay as it stands, after the failures recorded so far. */
    public double delayMs() {
        return backoff.delayMs(failures);
    }

    /** The operation has failed; the delay until it may be tried again. */
    public double nextDelayMs() {
        double delayMs = delayMs();
        recordFailure();
        return delayMs;
    }
}

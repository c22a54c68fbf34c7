package cacheproxy.backoff;

/** The backoff of one operation, with its count of consecutive failures. Times in milliseconds. Not thread-safe. */
public final class FailureBackoff {
    private final ExponentialBackoff backoff;
    private int failures;

    /** Creates the state of an operation that has not failed yet. */
    public FailureBackoff(ExponentialBackoff backoff) {
        this.backoff = backoff;
    }

    /** Records a success, which resets the count of consecutive failures. */
    public void reset() {
        failures = 0;
    }

    /** Records a failure, which doubles the delay up to the cap. */
    public void recordFailure() {
        failures++;
    }

    /** Returns the current delay, after the failures recorded so far. */
    public double delayMs() {
        return backoff.delayMs(failures);
    }

    /** Records a failure and returns the delay until the operation may be retried. */
    public double nextDelayMs() {
        double delayMs = delayMs();
        recordFailure();
        return delayMs;
    }
}

package cacheproxy.endpoints;

import java.util.SplittableRandom;

/**
 * How long to wait after a failed call for the list. Whatever failed, what discovery has counts as told 6 s after it
 * could be asked ({@link #MAX_STALENESS_MS}, the operators' terms), so the waits grow no further than leaves half of
 * that.
 */
public final class PollBackoff {
    /** So long after discovery has a change and could be asked, the change counts as told, in milliseconds. */
    public static final double MAX_STALENESS_MS = 6000;

    private static final int LEAST_PART = 32;
    private static final int MOST_DOUBLINGS = 4;

    private final double leastMs;
    private int failures;

    /** {@code askWithinMs}: the settings' time within which a proxy with no watch has to ask. */
    public PollBackoff(double askWithinMs) {
        leastMs = Math.min(askWithinMs, MAX_STALENESS_MS) / LEAST_PART;
    }

    /** A call was answered. */
    public void reset() {
        failures = 0;
    }

    /**
     * A call has failed. What is turned away many times comes back within half of a time that doubles, or all instances
     * together jam discovery. The time that the failed call took counts: one that fell silent has been waited for.
     *
     * @param tookMs how long the call took
     * @return milliseconds until the next call
     */
    public double nextDelayMs(double tookMs, SplittableRandom random) {
        double jitter = 0.5 + random.nextDouble() / 2;
        double least = leastMs * jitter;
        double interval = least * (1 << Math.min(failures++, MOST_DOUBLINGS));
        return Math.max(least, interval - tookMs);
    }
}

package cacheproxy.endpoints;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import java.util.SplittableRandom;

/**
 * The delay between a failed poll and the next. It starts at a 32nd of the time within which the list has to be fresh
 * and doubles up to half of it, so that a poll that succeeds still comes in time. Each delay is cut by a random part,
 * up to half: instances that failed at one time would otherwise poll together again and overload discovery.
 */
public final class PollBackoff {
    private static final int BASE_FRACTION = 32;
    private static final int MAX_DOUBLINGS = 4;
    private static final double MIN_JITTER = 0.5;

    private final double baseMs;
    private final FailureBackoff backoff;

    /**
     * Without a failure yet.
     *
     * @param maxPollIntervalMs the settings' time within which an instance without a watch has to poll, in milliseconds
     */
    public PollBackoff(double maxPollIntervalMs) {
        baseMs = Math.min(maxPollIntervalMs, EndpointListFreshness.MAX_STALENESS_MS) / BASE_FRACTION;
        backoff = new FailureBackoff(ExponentialBackoff.ofDoublings(baseMs, MAX_DOUBLINGS));
    }

    /** A poll was answered: the next failure is the first again. */
    public void reset() {
        backoff.reset();
    }

    /**
     * A poll has failed. What it took counts as part of the delay: one that discovery left unanswered has been waited
     * for already.
     *
     * @param tookMs from the start of the poll to its failure, in milliseconds
     * @param random one number is drawn of it
     * @return milliseconds until the next poll
     */
    public double nextDelayMs(double tookMs, SplittableRandom random) {
        double jitter = MIN_JITTER + random.nextDouble() / 2;
        double delayMs = backoff.nextDelayMs() * jitter;
        return Math.max(baseMs * jitter, delayMs - tookMs);
    }
}

package cacheproxy.endpoints;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import java.util.SplittableRandom;

/**
 * The delay between a failed poll and the next. It starts at 1/32 of the maximum staleness of the list, or of the poll
 * interval if that is shorter, and doubles up to half of it, so that a later successful poll is still in time. Each
 * delay is reduced by a random part of up to one half; otherwise instances that failed at the same time would poll
 * together again and overload discovery.
 */
public final class PollBackoff {
    private static final int BASE_FRACTION = 32;
    private static final int MAX_DOUBLINGS = 4;
    private static final double MIN_JITTER = 0.5;

    private final double baseMs;
    private final FailureBackoff backoff;

    /**
     * Creates a backoff without failures.
     *
     * @param maxPollIntervalMs the configured time within which an instance without a watch has to poll, in
     *     milliseconds
     */
    public PollBackoff(double maxPollIntervalMs) {
        baseMs = Math.min(maxPollIntervalMs, EndpointListFreshness.MAX_STALENESS_MS) / BASE_FRACTION;
        backoff = new FailureBackoff(ExponentialBackoff.ofDoublings(baseMs, MAX_DOUBLINGS));
    }

    /** A poll was answered; the next failure counts as the first again. */
    public void reset() {
        backoff.reset();
    }

    /**
     * A poll has failed. The time it took counts towards the delay, down to the base delay: for a poll that discovery
     * left unanswered, that time has already been spent waiting.
     *
     * @param tookMs the time from the start of the poll to its failure, in milliseconds
     * @param random the source of the jitter; one number is drawn
     * @return the time until the next poll, in milliseconds
     */
    public double nextDelayMs(double tookMs, SplittableRandom random) {
        double jitter = MIN_JITTER + random.nextDouble() / 2;
        double delayMs = backoff.nextDelayMs() * jitter;
        return Math.max(baseMs * jitter, delayMs - tookMs);
    }
}

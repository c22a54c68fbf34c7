package cacheproxy.endpoints;

import java.util.SplittableRandom;

/**
 * The timeouts of a poll. Each of the following times starts when the poll is sent, in milliseconds:
 *
 * <ul>
 *   <li>its <i>wait</i>: how long discovery may hold a watch unanswered ({@link #waitMs});
 *   <li>until it is <i>overdue</i>: another poll is then sent in parallel ({@link #overdueAfterMs}). Once a response
 *       has started to arrive, the poll is overdue {@link #BODY_MS} later at the latest;
 *   <li>until it is <i>cancelled</i>: {@link #CANCEL_AFTER_MS} after its wait, doubled for each consecutive cancelled
 *       poll, since responses may take longer than that.
 * </ul>
 */
final class PollTimeouts {
    /** The wait of a watch, plus or minus a tenth. */
    static final double WATCH_WAIT_MS = 1600;

    private static final double WATCH_WAIT_JITTER = 0.1;
    /**
     * A poll is overdue this long after its wait. Even with the shortest wait, this is later than the 3 s after which
     * discovery rejects queued polls.
     */
    static final double RESPONSE_MS = 1600;
    /** The same for a watch that directly follows an answered watch or delta: it does not queue at discovery. */
    static final double CONTINUED_WATCH_RESPONSE_MS = 1000;
    /** The same at an agent, which has no queue. */
    static final double AGENT_RESPONSE_MS = 500;
    /** The time within which a response that has started to arrive has to be complete. */
    static final double BODY_MS = 1000;
    /**
     * A poll is cancelled this long after its wait; longer than a change may stay unknown
     * ({@link EndpointListFreshness#MAX_STALENESS_MS}).
     */
    static final double CANCEL_AFTER_MS = 6500;

    static final int MAX_CANCEL_DOUBLINGS = 3;
    /** The maximum number of instances whose polls cause no long queue at discovery. */
    private static final int SMALL_FLEET = 10;

    private PollTimeouts() {}

    /** Returns the wait of a poll, with jitter so that the watches of all instances do not end at the same time. */
    static double waitMs(PollKind kind, SplittableRandom random) {
        double factor = 1 - WATCH_WAIT_JITTER + 2 * WATCH_WAIT_JITTER * random.nextDouble();
        return kind == PollKind.WATCH ? WATCH_WAIT_MS * factor : 0;
    }

    /**
     * Returns how long after being sent a poll becomes overdue, in milliseconds.
     *
     * @param waitMs the wait of the poll
     * @param othersPending whether the poll is sent in parallel with an overdue one
     * @param continuesWatch whether the previous poll was answered and was not a snapshot
     */
    static double overdueAfterMs(
            PollerSettings settings, PollKind kind, double waitMs, boolean othersPending, boolean continuesWatch) {
        if (!settings.sharedDiscovery()) {
            return waitMs + AGENT_RESPONSE_MS;
        }
        if (othersPending) {
            return waitMs + besideOverdueResponseMs(settings);
        }
        if (kind != PollKind.WATCH) {
            return WATCH_WAIT_MS + RESPONSE_MS;
        }
        return waitMs + (continuesWatch ? CONTINUED_WATCH_RESPONSE_MS : RESPONSE_MS);
    }

    /**
     * The first poll stays pending and has been queued the longest, so a parallel poll does not need to wait for the
     * queue. Where many instances make the queue long, peers deliver a change sooner than an additional poll would, so
     * the parallel poll is given time for the queue.
     */
    private static double besideOverdueResponseMs(PollerSettings settings) {
        return settings.instanceCount() <= SMALL_FLEET ? RESPONSE_MS : 2 * RESPONSE_MS;
    }
}

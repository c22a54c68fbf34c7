package cacheproxy.endpoints;

import java.util.SplittableRandom;

/**
 * How long a poll may take. Three spans begin when it is sent, in milliseconds:
 *
 * <ul>
 *   <li>its <i>wait</i>: discovery may leave a watch unanswered for so long ({@link #waitMs});
 *   <li>until it is <i>overdue</i>: another poll is sent beside it then ({@link #overdueAfterMs}), and earlier, by
 *       {@link #BODY_MS}, once a response has begun;
 *   <li>until it is <i>cancelled</i>: {@link #CANCEL_AFTER_MS} beyond its wait, doubled with each poll in a row that
 *       was cancelled, as responses may take longer than that.
 * </ul>
 */
final class PollTimeouts {
    /** The wait of a watch, give or take a tenth. */
    static final double WATCH_WAIT_MS = 1600;

    private static final double WATCH_WAIT_JITTER = 0.1;
    /**
     * Beyond its wait, a poll is overdue after this time. With the shortest wait that is over the 3 s after which
     * discovery rejects polls that queue at it.
     */
    static final double RESPONSE_MS = 1600;
    /** The same for a watch that follows another's answer: it does not queue. */
    static final double CONTINUED_WATCH_RESPONSE_MS = 1000;
    /** The same at an agent, which has no queue. */
    static final double AGENT_RESPONSE_MS = 500;
    /** A response that has begun to arrive has to be complete after this time. */
    static final double BODY_MS = 1000;
    /** Longer than a change may stay unknown ({@link EndpointListFreshness#MAX_STALENESS_MS}). */
    static final double CANCEL_AFTER_MS = 6500;

    static final int MAX_CANCEL_DOUBLINGS = 3;
    /** The polls of so many instances make no long queue at discovery. */
    private static final int SMALL_FLEET = 10;

    private PollTimeouts() {}

    /** The wait of a poll; with jitter, or the watches of all instances would end together. */
    static double waitMs(PollKind kind, SplittableRandom random) {
        double factor = 1 - WATCH_WAIT_JITTER + 2 * WATCH_WAIT_JITTER * random.nextDouble();
        return kind == PollKind.WATCH ? WATCH_WAIT_MS * factor : 0;
    }

    /**
     * When a poll that is about to be sent will be overdue, from then on.
     *
     * @param waitMs its wait
     * @param othersPending whether it is sent beside another that is overdue
     * @param continuesWatch whether the poll before was answered and was no snapshot
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
     * The first poll has queued longest and stays pending, so one beside it need not wait out a queue; where many
     * instances make the queue long, peers bring a change sooner than a further poll would, and it does wait.
     */
    private static double besideOverdueResponseMs(PollerSettings settings) {
        return settings.instanceCount() <= SMALL_FLEET ? RESPONSE_MS : 2 * RESPONSE_MS;
    }
}

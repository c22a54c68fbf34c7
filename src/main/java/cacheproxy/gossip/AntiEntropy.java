package cacheproxy.gossip;

import java.util.SplittableRandom;

/**
 * Decides when some peer is queried for changes of the endpoint list. Announcements of peers may have been lost while
 * discovery was of no help, so a peer is queried
 *
 * <ul>
 *   <li>while discovery has not answered for {@link #STALE_AFTER_MS}, again and again ({@link #onTimer});
 *   <li>when a poll has failed, or a peer holds a version that discovery has not brought in time
 *       ({@link #tryStartQuery}),
 * </ul>
 *
 * <p>but never within {@link #MIN_QUERY_INTERVAL_MS} of the query before. An instance whose watch works queries nobody,
 * so the messages of a healthy fleet do not grow with time. Times in milliseconds of one clock.
 */
public final class AntiEntropy {
    /** Longer than a watch that works is left unanswered: its wait is 1.8 s at most. */
    static final double STALE_AFTER_MS = 2000;
    /** Between two queries, each of which may go to another peer. */
    static final double MIN_QUERY_INTERVAL_MS = 500;

    private double lastResponseMs;
    private double lastQueryMs = Double.NEGATIVE_INFINITY;

    /** {@code nowMs}: discovery counts as having answered then. */
    public AntiEntropy(double nowMs) {
        lastResponseMs = nowMs;
    }

    /**
     * Draws a peer, each as likely.
     *
     * @param random one number is drawn of it unless there is no peer
     * @param self the number of this instance, 0 to {@code instanceCount - 1}
     * @return the number of some other instance; negative if this is the only one
     */
    public static int randomPeer(SplittableRandom random, int self, int instanceCount) {
        if (instanceCount < 2) {
            return -1;
        }
        int other = random.nextInt(instanceCount - 1);
        return other < self ? other : other + 1;
    }

    /** Discovery has answered, with or without news. */
    public void onDiscoveryResponse(double nowMs) {
        lastResponseMs = nowMs;
    }

    /**
     * A poll has failed, or a peer holds a version that is not known here.
     *
     * @return whether to query a peer now; counts as done then
     */
    public boolean tryStartQuery(double nowMs) {
        if (nowMs - lastQueryMs < MIN_QUERY_INTERVAL_MS) {
            return false;
        }
        lastQueryMs = nowMs;
        return true;
    }

    /** When to call {@link #onTimer} next, in milliseconds. */
    public double nextTimerMs() {
        return Math.max(lastResponseMs + STALE_AFTER_MS, lastQueryMs + MIN_QUERY_INTERVAL_MS);
    }

    /**
     * {@link #nextTimerMs} may have come.
     *
     * @return whether to query a peer now; counts as done then
     */
    public boolean onTimer(double nowMs) {
        return nowMs >= nextTimerMs() && tryStartQuery(nowMs);
    }
}

package cacheproxy.gossip;

import java.util.SplittableRandom;

/**
 * Decides when to query a peer for changes of the endpoint list. Announcements of peers may have been lost while
 * discovery was unavailable, so a peer is queried
 *
 * <ul>
 *   <li>repeatedly while discovery has not answered for {@link #STALE_AFTER_MS} ({@link #onTimer});
 *   <li>when a poll has failed, or a peer holds a version that discovery has not returned in time
 *       ({@link #tryStartQuery}),
 * </ul>
 *
 * <p>but at most once per {@link #MIN_QUERY_INTERVAL_MS}. An instance whose watch works sends no queries, so the number
 * of messages in a healthy fleet does not grow over time. Times in milliseconds of one clock.
 */
public final class AntiEntropy {
    /**
     * The time without an answer from discovery after which peers are queried. Longer than a working watch is left
     * unanswered: its wait is at most 1.8 s.
     */
    static final double STALE_AFTER_MS = 2000;
    /** The minimum time between two queries, which may go to different peers. */
    static final double MIN_QUERY_INTERVAL_MS = 500;

    private double lastResponseMs;
    private double lastQueryMs = Double.NEGATIVE_INFINITY;

    /** Creates an instance for which discovery counts as having answered at {@code nowMs}. */
    public AntiEntropy(double nowMs) {
        lastResponseMs = nowMs;
    }

    /**
     * Selects a peer with uniform probability.
     *
     * @param random one number is drawn from it, unless there is no peer
     * @param self the number of this instance, 0 to {@code instanceCount - 1}
     * @return the number of another instance; negative if this is the only one
     */
    public static int randomPeer(SplittableRandom random, int self, int instanceCount) {
        if (instanceCount < 2) {
            return -1;
        }
        int other = random.nextInt(instanceCount - 1);
        return other < self ? other : other + 1;
    }

    /** Discovery has answered, with or without a new version. */
    public void onDiscoveryResponse(double nowMs) {
        lastResponseMs = nowMs;
    }

    /**
     * A poll has failed, or a peer holds a version that is not known here.
     *
     * @return whether to query a peer now; if so, the query counts as sent
     */
    public boolean tryStartQuery(double nowMs) {
        if (nowMs - lastQueryMs < MIN_QUERY_INTERVAL_MS) {
            return false;
        }
        lastQueryMs = nowMs;
        return true;
    }

    /** Returns when to call {@link #onTimer} next, in milliseconds. */
    public double nextTimerMs() {
        return Math.max(lastResponseMs + STALE_AFTER_MS, lastQueryMs + MIN_QUERY_INTERVAL_MS);
    }

    /**
     * Starts a query if {@link #nextTimerMs} has come.
     *
     * @return whether to query a peer now; if so, the query counts as sent
     */
    public boolean onTimer(double nowMs) {
        return nowMs >= nextTimerMs() && tryStartQuery(nowMs);
    }
}

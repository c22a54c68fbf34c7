package cacheproxy.gossip;

import java.util.SplittableRandom;

/**
 * When to ask some peer for what has changed in the list: while discovery does not answer, as what a peer told
 * meanwhile may have been lost on its way. A proxy with a sound watch asks nobody, so the messages do not grow with
 * time.
 */
public final class AntiEntropy {
    /** A sound watch is answered sooner than this: its wait is 1.8 s at most. */
    static final double STALE_AFTER_MS = 2000;
    /** The least time between two questions, which some other peer is asked each time. */
    static final double MIN_QUERY_INTERVAL_MS = 500;

    private double lastResponseMs;
    private double lastQueryMs = Double.NEGATIVE_INFINITY;

    /** Discovery counts as answered at this time, in milliseconds. */
    public AntiEntropy(double nowMs) {
        lastResponseMs = nowMs;
    }

    /** The number of some instance but this one, each as likely; negative if this is the only one. */
    public static int randomPeer(SplittableRandom random, int me, int instances) {
        if (instances < 2) {
            return -1;
        }
        int other = random.nextInt(instances - 1);
        return other < me ? other : other + 1;
    }

    /** Discovery has answered, with or without news. */
    public void onDiscoveryResponse(double nowMs) {
        lastResponseMs = nowMs;
    }

    /** Something is amiss: a call has failed, or a peer has claimed what is not known here. Whether to ask one now. */
    public boolean onFault(double nowMs) {
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

    /** That time may have come. Whether to ask a peer now. */
    public boolean onTimer(double nowMs) {
        return nowMs >= nextTimerMs() && onFault(nowMs);
    }
}

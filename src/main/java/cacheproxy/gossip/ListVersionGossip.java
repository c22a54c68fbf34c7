package cacheproxy.gossip;

import cacheproxy.membership.LiveMembers;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Finds out from peers that discovery has news which this proxy has not been told. A watch that has fallen silent looks
 * like one with nothing to say; each proxy alone learns of it only when the watch's wait is over. Of many proxies some
 * are told in time, so each tells the others the version of the list that it has come to hold: whoever is not told the
 * same soon afterwards asks anew. Discovery tells all in one moment, so each waits for a random part of a time that
 * grows with their number, and has nothing to tell once another has: some two of them tell a version, however many
 * there are.
 *
 * <p>A claim is no news by itself: what the list holds comes from discovery alone. A wrong one costs a call at most,
 * and the next call on account of peers waits twice as long, until discovery has confirmed one. Whether a call is made
 * is for whoever carries the order out: it must not give up one that stands in the line of a discovery that all
 * instances ask.
 */
public final class ListVersionGossip {
    /** So long may a watch take to tell what another has told already: a few times what it takes one by one. */
    static final double MIN_POLL_DELAY_MS = 500;
    /**
     * Whoever asks, or tells, does so within this time for each instance: discovery takes calls in turn, and a message
     * takes less than this, so that most learn that a version has been told before their own turn comes.
     */
    static final double TURN_PER_INSTANCE_MS = 50;
    /** The longest that these turns take, so that what few were told is passed on soon in a large fleet. */
    static final double MAX_TURN_MS = 1500;
    /** The longest time between calls on account of peers. */
    static final double MAX_POLL_DELAY_MS = 60_000;

    private final SplittableRandom random;
    private int instanceCount;
    /** The versions that peers have told last; who holds one of them has nothing to tell. */
    private final long[] announcedVersions = new long[16];

    private int announcementCount;
    private long onVersionApplied;
    private long claimedVersion;
    private double announceAtMs = Double.POSITIVE_INFINITY;
    private double pollAtMs = Double.POSITIVE_INFINITY;
    private double pollDelayMs = MIN_POLL_DELAY_MS;

    /** What follows from an event. */
    public enum Action {
        /** Nothing. */
        NONE,
        /** Tell all peers the version that is held. */
        ANNOUNCE,
        /** Call {@link #onTimer} again at {@link #nextTimerMs}. */
        WAIT,
        /** Ask discovery anew. */
        POLL_DISCOVERY
    }

    /**
     * For one of so many instances, at least 1.
     *
     * @param seed apart from that of other instances, so that they do not ask at once
     */
    public ListVersionGossip(int instances, long seed) {
        if (instances < 1) {
            throw new IllegalArgumentException(instances + " instances");
        }
        this.instanceCount = instances;
        random = new SplittableRandom(seed);
    }

    /** So many live now: turns are taken among them, and nobody waits for those who are away. */
    public void setLiveMembers(LiveMembers living) {
        instanceCount = living.count();
    }

    /** Discovery has told this proxy that version. */
    public Action onVersionApplied(double nowMs, long version) {
        if (version <= onVersionApplied) {
            return Action.NONE;
        }
        if (claimedVersion > onVersionApplied) {
            pollDelayMs = MIN_POLL_DELAY_MS; // there was news
        }
        onVersionApplied = version;
        if (claimedVersion <= onVersionApplied) {
            pollAtMs = Double.POSITIVE_INFINITY;
        }
        if (announceAtMs != Double.POSITIVE_INFINITY || isAnnounced() || instanceCount == 1) {
            return Action.NONE;
        }
        announceAtMs = nowMs + randomTurnMs();
        return Action.WAIT;
    }

    private double randomTurnMs() {
        return random.nextDouble() * Math.min(MAX_TURN_MS, TURN_PER_INSTANCE_MS * instanceCount);
    }

    private boolean isAnnounced() {
        return Arrays.stream(announcedVersions).anyMatch(v -> v == onVersionApplied);
    }

    /** The list that this proxy starts with; that it is held is no news to anybody. */
    public void start(long version) {
        onVersionApplied = Math.max(onVersionApplied, version);
    }

    /** A peer claims to hold that version. */
    public Action onPeerVersion(double nowMs, long version) {
        announcedVersions[announcementCount++ % announcedVersions.length] = version;
        if (version <= onVersionApplied || version <= claimedVersion) {
            return Action.NONE;
        }
        claimedVersion = version;
        if (pollAtMs != Double.POSITIVE_INFINITY) {
            return Action.NONE;
        }
        pollAtMs = nowMs + pollDelayMs + randomTurnMs();
        return Action.WAIT;
    }

    /** When to look again, in milliseconds; infinite for never. */
    public double nextTimerMs() {
        return Math.min(announceAtMs, pollAtMs);
    }

    /**
     * The time has come, or a timer thinks so. What follows is one order; there may be more to come at
     * {@link #nextTimerMs}.
     */
    public Action onTimer(double nowMs) {
        if (nowMs >= announceAtMs) {
            announceAtMs = Double.POSITIVE_INFINITY;
            if (!isAnnounced()) {
                return Action.ANNOUNCE;
            }
        }
        if (nowMs >= pollAtMs) { // what was claimed has not been told by now
            pollAtMs = Double.POSITIVE_INFINITY;
            claimedVersion = onVersionApplied; // discovery's answer settles it
            pollDelayMs = Math.min(MAX_POLL_DELAY_MS, pollDelayMs * 2);
            return Action.POLL_DISCOVERY;
        }
        return nextTimerMs() == Double.POSITIVE_INFINITY ? Action.NONE : Action.WAIT;
    }
}

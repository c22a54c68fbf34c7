package cacheproxy.gossip;

import cacheproxy.membership.LiveMembers;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Decides when an instance announces its version of the endpoint list to its peers, and when it polls discovery because
 * peers hold a newer one. A watch that has fallen silent looks like one without news; alone, an instance notices only
 * when the watch's wait is over. Of many instances some get the news in time and announce it.
 *
 * <ul>
 *   <li>A new version is announced after a random part of a span that grows with the number of instances, unless a peer
 *       has announced it by then: discovery answers all at one moment, and one or two announcements are enough.
 *   <li>A version that a peer has announced, and that discovery does not bring here within {@link #MIN_POLL_DELAY_MS}
 *       and such a random part, makes this instance poll. An announcement may be wrong: each such poll doubles the
 *       delay of the next, until discovery has confirmed a version that was announced.
 * </ul>
 *
 * <p>An announcement changes nothing of the list itself. Whoever carries out {@link Action#POLL_DISCOVERY} must not
 * cancel a poll that queues at a shared discovery. Times in milliseconds of one clock; not thread-safe.
 */
public final class ListVersionGossip {
    /** A watch that works brings a version this long after another has had it, at most; some responses' time. */
    static final double MIN_POLL_DELAY_MS = 500;
    /** The longest delay before a poll on account of peers. */
    static final double MAX_POLL_DELAY_MS = 60_000;
    /**
     * The span within which an instance polls or announces, for each instance: discovery takes polls in turn, and a
     * message takes less, so that most hear of an announcement before their own turn.
     */
    static final double DELAY_RANGE_PER_INSTANCE_MS = 50;
    /** The longest such span, so that news that few have gets around soon in a large fleet. */
    static final double MAX_DELAY_RANGE_MS = 1500;
    /** So many announcements of peers are held; who holds one of these versions has nothing to announce. */
    private static final int MAX_ANNOUNCEMENTS = 16;

    /** What the caller has to do. */
    public enum Action {
        /** Nothing. */
        NONE,
        /** Announce the version that is held to all peers, and call {@link #onTimer} at {@link #nextTimerMs}. */
        ANNOUNCE,
        /** Call {@link #onTimer} at {@link #nextTimerMs}. */
        WAIT,
        /** Poll discovery, and call {@link #onTimer} at {@link #nextTimerMs}. */
        POLL_DISCOVERY
    }

    private final SplittableRandom random;
    private int instanceCount;
    /** The versions that peers have announced last; a ring. */
    private final long[] announcedVersions = new long[MAX_ANNOUNCEMENTS];

    private int announcementCount;
    /** By discovery. */
    private long heldVersion;
    /** The highest that peers have announced and discovery has not brought; otherwise not above the held one. */
    private long claimedVersion;
    /** Infinite: nothing to announce. */
    private double announceAtMs = Double.POSITIVE_INFINITY;
    /** Infinite: no reason to poll. */
    private double pollAtMs = Double.POSITIVE_INFINITY;

    private double pollDelayMs = MIN_POLL_DELAY_MS;

    /**
     * Holds version 0.
     *
     * @param instanceCount instances of the tier, at least 1
     * @param seed other than that of any other instance, so that they do not act together
     */
    public ListVersionGossip(int instanceCount, long seed) {
        if (instanceCount < 1) {
            throw new IllegalArgumentException(instanceCount + " instances, expected at least 1");
        }
        this.instanceCount = instanceCount;
        random = new SplittableRandom(seed);
    }

    /** So many instances live: spans are for them, and nobody waits for those that are gone. */
    public void setLiveMembers(LiveMembers liveMembers) {
        instanceCount = liveMembers.count();
    }

    /** The instance starts with a list of this version; that is news to nobody. */
    public void start(long version) {
        heldVersion = Math.max(heldVersion, version);
    }

    /** A list of this version, by discovery, is in use. */
    public Action onVersionApplied(double nowMs, long version) {
        if (version <= heldVersion) {
            return Action.NONE;
        }
        if (claimedVersion > heldVersion) {
            pollDelayMs = MIN_POLL_DELAY_MS; // the announcement was right
        }
        heldVersion = version;
        if (claimedVersion <= heldVersion) {
            pollAtMs = Double.POSITIVE_INFINITY;
        }
        if (announceAtMs != Double.POSITIVE_INFINITY || isAnnouncedByPeer() || instanceCount == 1) {
            return Action.NONE;
        }
        announceAtMs = nowMs + randomDelayMs();
        return Action.WAIT;
    }

    private boolean isAnnouncedByPeer() {
        return Arrays.stream(announcedVersions).anyMatch(v -> v == heldVersion);
    }

    private double randomDelayMs() {
        return random.nextDouble() * Math.min(MAX_DELAY_RANGE_MS, DELAY_RANGE_PER_INSTANCE_MS * instanceCount);
    }

    /** A peer announces this version. */
    public Action onPeerVersion(double nowMs, long version) {
        announcedVersions[announcementCount++ % MAX_ANNOUNCEMENTS] = version;
        if (version <= heldVersion || version <= claimedVersion) {
            return Action.NONE;
        }
        claimedVersion = version;
        if (pollAtMs != Double.POSITIVE_INFINITY) {
            return Action.NONE;
        }
        pollAtMs = nowMs + pollDelayMs + randomDelayMs();
        return Action.WAIT;
    }

    /** When to call {@link #onTimer}, in milliseconds; infinite for never. */
    public double nextTimerMs() {
        return Math.min(announceAtMs, pollAtMs);
    }

    /** {@link #nextTimerMs} may have come. What is returned is the first action; another may be due at once. */
    public Action onTimer(double nowMs) {
        if (nowMs >= announceAtMs) {
            announceAtMs = Double.POSITIVE_INFINITY;
            if (!isAnnouncedByPeer()) {
                return Action.ANNOUNCE;
            }
        }
        if (nowMs >= pollAtMs) {
            pollAtMs = Double.POSITIVE_INFINITY;
            claimedVersion = heldVersion; // the poll shows whether the announcement was right
            pollDelayMs = Math.min(MAX_POLL_DELAY_MS, pollDelayMs * 2);
            return Action.POLL_DISCOVERY;
        }
        return nextTimerMs() == Double.POSITIVE_INFINITY ? Action.NONE : Action.WAIT;
    }
}

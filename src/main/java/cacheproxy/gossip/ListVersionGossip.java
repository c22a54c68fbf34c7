package cacheproxy.gossip;

import cacheproxy.membership.LiveMembers;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Decides when an instance announces its version of the endpoint list to its peers, and when it polls discovery because
 * peers hold a newer one. A watch that no longer delivers changes looks like one without changes; by itself, an
 * instance notices the failure only when the watch's wait is over. Of many instances, some receive the change in time
 * and announce it.
 *
 * <ul>
 *   <li>A new version is announced after a random delay, whose range grows with the number of instances, unless a peer
 *       has announced it by then: discovery answers all instances at the same moment, and one or two announcements are
 *       enough.
 *   <li>If a peer has announced a version that discovery does not deliver here within {@link #MIN_POLL_DELAY_MS} plus
 *       such a random delay, this instance polls. An announcement may be wrong: each of these polls doubles the delay
 *       of the next, until discovery has confirmed an announced version.
 * </ul>
 *
 * <p>An announcement does not change the list itself. The caller that executes {@link Action#POLL_DISCOVERY} must not
 * cancel a poll that is queued at a shared discovery service. Times in milliseconds of one clock; not thread-safe.
 */
public final class ListVersionGossip {
    /**
     * The maximum time by which a working watch delivers a version later than another instance receives it; a few
     * response times.
     */
    static final double MIN_POLL_DELAY_MS = 500;
    /** The maximum delay before a poll that was caused by an announcement. */
    static final double MAX_POLL_DELAY_MS = 60_000;
    /**
     * The range of the random delay of a poll or announcement, per instance. Discovery processes polls one at a time,
     * and a message takes less time than this, so most instances receive an announcement before their own delay is
     * over.
     */
    static final double DELAY_RANGE_PER_INSTANCE_MS = 50;
    /**
     * The maximum range of the random delay, so that in a large fleet a version held by few instances spreads quickly.
     */
    static final double MAX_DELAY_RANGE_MS = 1500;
    /** The number of peer announcements that are stored; an instance does not announce a version that is among them. */
    private static final int MAX_ANNOUNCEMENTS = 16;

    /** The action for the caller to execute. */
    public enum Action {
        /** No action. */
        NONE,
        /** Announce the current version to all peers, and call {@link #onTimer} at {@link #nextTimerMs}. */
        ANNOUNCE,
        /** Call {@link #onTimer} at {@link #nextTimerMs}. */
        WAIT,
        /** Poll discovery, and call {@link #onTimer} at {@link #nextTimerMs}. */
        POLL_DISCOVERY
    }

    private final SplittableRandom random;
    private int instanceCount;
    /** The versions that peers announced last; a ring buffer. */
    private final long[] announcedVersions = new long[MAX_ANNOUNCEMENTS];

    private int announcementCount;
    /** The current version, as delivered by discovery. */
    private long heldVersion;
    /**
     * The highest version that peers have announced and discovery has not delivered; otherwise not higher than the held
     * one.
     */
    private long claimedVersion;
    /** When to announce the held version; infinite if there is nothing to announce. */
    private double announceAtMs = Double.POSITIVE_INFINITY;
    /** When to poll; infinite if there is no reason to poll. */
    private double pollAtMs = Double.POSITIVE_INFINITY;

    private double pollDelayMs = MIN_POLL_DELAY_MS;

    /**
     * Starts with version 0.
     *
     * @param instanceCount the number of instances in the fleet, at least 1
     * @param seed different for each instance, so that instances do not act at the same time
     */
    public ListVersionGossip(int instanceCount, long seed) {
        if (instanceCount < 1) {
            throw new IllegalArgumentException(instanceCount + " instances, expected at least 1");
        }
        this.instanceCount = instanceCount;
        random = new SplittableRandom(seed);
    }

    /**
     * Sets the number of live instances, which determines the range of the random delays; absent instances do not
     * lengthen them.
     */
    public void setLiveMembers(LiveMembers liveMembers) {
        instanceCount = liveMembers.count();
    }

    /** The instance starts with a list of this version, which is not announced. */
    public void start(long version) {
        heldVersion = Math.max(heldVersion, version);
    }

    /** A list of this version was delivered by discovery and is in use. */
    public Action onVersionApplied(double nowMs, long version) {
        if (version <= heldVersion) {
            return Action.NONE;
        }
        if (claimedVersion > heldVersion) {
            pollDelayMs = MIN_POLL_DELAY_MS; // the announcement was correct
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

    /** A peer has announced this version. */
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

    /** Returns when to call {@link #onTimer}, in milliseconds; infinite if it need not be called. */
    public double nextTimerMs() {
        return Math.min(announceAtMs, pollAtMs);
    }

    /** Returns the first action that is due; another may be due immediately afterwards. */
    public Action onTimer(double nowMs) {
        if (nowMs >= announceAtMs) {
            announceAtMs = Double.POSITIVE_INFINITY;
            if (!isAnnouncedByPeer()) {
                return Action.ANNOUNCE;
            }
        }
        if (nowMs >= pollAtMs) {
            pollAtMs = Double.POSITIVE_INFINITY;
            claimedVersion = heldVersion; // the poll shows whether the announcement was correct
            pollDelayMs = Math.min(MAX_POLL_DELAY_MS, pollDelayMs * 2);
            return Action.POLL_DISCOVERY;
        }
        return nextTimerMs() == Double.POSITIVE_INFINITY ? Action.NONE : Action.WAIT;
    }
}

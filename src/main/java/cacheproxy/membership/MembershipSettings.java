package cacheproxy.membership;

import java.util.List;

/**
 * The settings of the membership protocol. Times in milliseconds.
 *
 * @param configuredCount the number of configured instances, numbered from 0; 0 if there are only seeds
 * @param seeds the numbers of the members through which to join; empty if members are configured
 * @param capacity the maximum number of known members, including dead ones
 * @param roundMs the time between two rounds, each of which probes a member
 * @param pingTimeoutMs the time after which a member is pinged again, also through helpers
 * @param probeTimeoutMs the time after which a probe has failed
 * @param helpers the number of members that are requested to ping a member that does not answer
 * @param confirmers the number of members that probe a suspected one immediately, in addition to the one that suspects
 *     it
 * @param minSuspicionMs the duration of a suspicion that all of them confirm
 * @param maxSuspicionMs the duration of a suspicion that none of them confirms
 * @param fanout the number of members to which a change is gossiped at once
 * @param absentRetentionMs the time after which an absent member that is not configured is removed
 */
public record MembershipSettings(
        int configuredCount,
        List<Integer> seeds,
        int capacity,
        double roundMs,
        double pingTimeoutMs,
        double probeTimeoutMs,
        int helpers,
        int confirmers,
        double minSuspicionMs,
        double maxSuspicionMs,
        int fanout,
        double absentRetentionMs) {
    private static final double ROUND_MS = 200;
    private static final double PING_TIMEOUT_MS = 100;
    private static final double PROBE_TIMEOUT_MS = 300;
    private static final int HELPERS = 3;
    private static final int CONFIRMERS = 3;
    private static final double MIN_SUSPICION_MS = 500;
    private static final double MAX_SUSPICION_MS = 6000;
    private static final int FANOUT = 3;
    private static final double ABSENT_RETENTION_MS = 600_000;

    /** Checks the ranges. */
    public MembershipSettings {
        seeds = List.copyOf(seeds);
        if (configuredCount < 0
                || capacity < Math.max(1, configuredCount)
                || capacity > Member.MAX_ID
                || (configuredCount == 0 && seeds.isEmpty())) {
            throw new IllegalArgumentException(
                    configuredCount + " configured instances, " + seeds.size() + " seeds and a capacity of " + capacity
                            + "; expected configured instances or seeds, and a capacity for all of them");
        }
        if (!(roundMs >= 10
                && pingTimeoutMs >= 1
                && probeTimeoutMs > pingTimeoutMs
                && minSuspicionMs > 0
                && maxSuspicionMs >= minSuspicionMs
                && absentRetentionMs > 0)) {
            throw new IllegalArgumentException(
                    "rounds of " + roundMs + " ms, ping timeout " + pingTimeoutMs + " ms, probe timeout "
                            + probeTimeoutMs + " ms, suspicions of " + minSuspicionMs + " to " + maxSuspicionMs
                            + " ms; expected rounds of at least 10 ms, a ping timeout from 1 ms, a longer probe timeout, "
                            + "a minimum suspicion above 0 up to the maximum, and a retention above 0");
        }
        if (helpers < 0
                || helpers > 16
                || confirmers < 0
                || confirmers >= Member.MAX_CONFIRMERS
                || fanout < 1
                || fanout > 16) {
            throw new IllegalArgumentException(helpers + " helpers, " + confirmers + " confirmers and a fanout of "
                    + fanout + "; expected 0 to 16 helpers, 0 to " + (Member.MAX_CONFIRMERS - 1)
                    + " confirmers, and a fanout of 1 to 16");
        }
    }

    /**
     * Returns the settings for a number of configured instances; the values were measured in
     * {@code docs/design/members.md}.
     */
    public static MembershipSettings forConfigured(int configuredCount) {
        return withDefaults(configuredCount, List.of(), Math.max(1, configuredCount));
    }

    /** Returns the settings for a fleet whose members join through seeds. */
    public static MembershipSettings forSeeds(List<Integer> seeds, int capacity) {
        return withDefaults(0, seeds, capacity);
    }

    private static MembershipSettings withDefaults(int configuredCount, List<Integer> seeds, int capacity) {
        return new MembershipSettings(
                configuredCount,
                seeds,
                capacity,
                ROUND_MS,
                PING_TIMEOUT_MS,
                PROBE_TIMEOUT_MS,
                HELPERS,
                CONFIRMERS,
                MIN_SUSPICION_MS,
                MAX_SUSPICION_MS,
                FANOUT,
                ABSENT_RETENTION_MS);
    }

    /** Whether a member of this number is configured. */
    boolean isConfigured(int id) {
        return id < configuredCount;
    }
}

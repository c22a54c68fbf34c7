package cacheproxy.membership;

import java.util.List;

/**
 * The settings of the membership protocol. Times in milliseconds.
 *
 * @param configuredCount how many instances the configuration names, by numbers from 0; 0 where there are only seeds
 * @param seeds numbers of the members to join by; none where members are configured
 * @param capacity how many members are known at most, the dead among them
 * @param roundMs between two rounds, each of which probes a member
 * @param pingTimeoutMs after which a member is pinged again, and by helpers
 * @param probeTimeoutMs after which a probe has failed
 * @param helpers how many members are asked to ping one that does not answer
 * @param confirmers how many members probe a suspected one at once, beside the one that suspects it
 * @param minSuspicionMs how long a suspicion lasts when all of them confirm it
 * @param maxSuspicionMs how long it lasts when none does
 * @param fanout to how many members a change is gossiped at once
 * @param absentRetentionMs after which an absent member that is not configured is forgotten
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
            throw new IllegalArgumentException(configuredCount + " configured instances, " + seeds.size()
                    + " seeds and room for " + capacity + "; it takes one of the former, and room for all of them");
        }
        if (!(roundMs >= 10
                && pingTimeoutMs >= 1
                && probeTimeoutMs > pingTimeoutMs
                && minSuspicionMs > 0
                && maxSuspicionMs >= minSuspicionMs
                && absentRetentionMs > 0)) {
            throw new IllegalArgumentException(
                    "rounds of " + roundMs + " ms with answers after " + pingTimeoutMs + " and " + probeTimeoutMs
                            + " ms, suspicions of " + minSuspicionMs + " to " + maxSuspicionMs + " ms make no sense");
        }
        if (helpers < 0
                || helpers > 16
                || confirmers < 0
                || confirmers >= Member.MAX_CONFIRMERS
                || fanout < 1
                || fanout > 16) {
            throw new IllegalArgumentException(helpers + " helpers, " + confirmers + " confirmers and a fanout of "
                    + fanout + "; it takes up to 16, up to " + (Member.MAX_CONFIRMERS - 1) + ", and 1 to 16");
        }
    }

    /** For so many configured instances; the figures are measured in {@code docs/design/members.md}. */
    public static MembershipSettings forConfigured(int configuredCount) {
        return withDefaults(configuredCount, List.of(), Math.max(1, configuredCount));
    }

    /** For a fleet whose members join by seeds. */
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

    /** Whether the configuration names a member of this number. */
    boolean isConfigured(int id) {
        return id < configuredCount;
    }
}

package cacheproxy.membership;

import java.util.List;

/**
 * The settings of the membership protocol. Times in milliseconds.
 *
 * @param configured how many instances the configuration names, by numbers from 0; 0 where there are only seeds
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
 * @param forgetMs after which an absent member that is not configured is forgotten
 */
public record MembershipSettings(
        int configured,
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
        double forgetMs) {
    /** Checks the ranges. */
    public MembershipSettings {
        seeds = List.copyOf(seeds);
        if (configured < 0
                || capacity < Math.max(1, configured)
                || capacity > Member.MAX_ID
                || (configured == 0 && seeds.isEmpty())) {
            throw new IllegalArgumentException(configured + " configured instances, " + seeds.size()
                    + " seeds and room for " + capacity + "; it takes one of the former, and room for all of them");
        }
        if (!(roundMs >= 10
                && pingTimeoutMs >= 1
                && probeTimeoutMs > pingTimeoutMs
                && minSuspicionMs > 0
                && maxSuspicionMs >= minSuspicionMs
                && forgetMs > 0)) {
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
    public static MembershipSettings forConfigured(int configured) {
        return new MembershipSettings(
                configured, List.of(), Math.max(1, configured), 200, 100, 300, 3, 3, 500, 6000, 3, 600_000);
    }

    /** For a fleet whose members join by seeds. */
    public static MembershipSettings forSeeds(List<Integer> seeds, int most) {
        return new MembershipSettings(0, seeds, most, 200, 100, 300, 3, 3, 500, 6000, 3, 600_000);
    }

    /** Whether the configuration names a member of this number. */
    boolean isConfigured(int id) {
        return id < configured;
    }
}

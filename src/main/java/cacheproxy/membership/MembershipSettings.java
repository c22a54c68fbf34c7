package cacheproxy.membership;

import java.util.List;

/**
 * How an instance watches the others. Times in milliseconds.
 *
 * @param configured instances that the settings name, numbers 0 to this less one; 0 where there are only seeds
 * @param seeds numbers of those to ask first; all that are configured where there are none
 * @param capacity instances that are remembered at most, the dead among them
 * @param roundMs between two probes of one instance
 * @param pingTimeoutMs after which an answer is asked for again and by helpers
 * @param probeTimeoutMs after which a probe has failed
 * @param helpers that are asked to reach one that does not answer
 * @param confirmers that look at once after one that is suspected, beside who suspects it
 * @param minSuspicionMs for which a suspicion lasts when all of them confirm it
 * @param maxSuspicionMs for which it lasts when nobody does
 * @param fanout to how many news goes on at once
 * @param forgetMs after which one that is gone and that the settings do not name is forgotten
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

    /** For so many configured instances, as measured in {@code docs/design/members.md}. */
    public static MembershipSettings forConfigured(int configured) {
        return new MembershipSettings(
                configured, List.of(), Math.max(1, configured), 200, 100, 300, 3, 3, 500, 6000, 3, 600_000);
    }

    /** For a fleet that only its seeds name. */
    public static MembershipSettings forSeeds(List<Integer> seeds, int most) {
        return new MembershipSettings(0, seeds, most, 200, 100, 300, 3, 3, 500, 6000, 3, 600_000);
    }

    /** Whether the settings name an instance of this number. */
    boolean isConfigured(int id) {
        return id < configured;
    }
}

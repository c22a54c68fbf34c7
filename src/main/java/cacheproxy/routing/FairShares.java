package cacheproxy.routing;

import java.util.List;

/**
 * Distributes load shedding among tenants: rejections go to the tenants that exceed their quotas the most (max-min
 * fairness), as requests over quota have little value. Uses decaying counts of each tenant's requests at this instance.
 * Client retries are counted as well and increase the counts of all tenants alike.
 */
final class FairShares {
    /** Halves the search interval to less than one ten-millionth of its size. */
    private static final int BISECTION_STEPS = 24;

    private static final double MIN_QUOTA_PER_SECOND = 1e-9;

    private final List<Tenant> tenants;
    private final double[] requested;
    private double decayedAtMs;

    FairShares(List<Tenant> tenants) {
        this.tenants = tenants;
        requested = new double[tenants.size()];
    }

    /** Counts a request of a tenant, given by its index in the settings. */
    void recordRequest(double nowMs, int tenant) {
        double decayFactor = DecayingCounter.decayFactor(nowMs - decayedAtMs, AdaptiveThrottle.HALF_LIFE_MS);
        decayedAtMs = nowMs;
        for (int t = 0; t < requested.length; t++) {
            requested[t] *= decayFactor;
        }
        requested[tenant]++;
    }

    /**
     * The fraction of one tenant's requests to reject, so that the fraction {@code excess} of all requests is rejected.
     *
     * @param excess above 0, at most 1
     * @return 0 to 1
     */
    double rejectedFraction(int tenant, double excess) {
        return 1 - admitted(tenant, fairQuotaMultiple(excess)) / requested[tenant];
    }

    /** The multiple of its quota that each tenant may use, so that all tenants together use what the excess leaves. */
    private double fairQuotaMultiple(double excess) {
        double target = 0;
        double high = 0;
        for (int t = 0; t < requested.length; t++) {
            target += requested[t] * (1 - excess);
            high = Math.max(
                    high,
                    requested[t] / Math.max(MIN_QUOTA_PER_SECOND, tenants.get(t).quotaPerSecond()));
        }
        double low = 0;
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            if (totalAdmitted(middle) < target) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private double totalAdmitted(double multiple) {
        double sum = 0;
        for (int t = 0; t < requested.length; t++) {
            sum += admitted(t, multiple);
        }
        return sum;
    }

    private double admitted(int tenant, double multiple) {
        return Math.min(requested[tenant], multiple * tenants.get(tenant).quotaPerSecond());
    }
}

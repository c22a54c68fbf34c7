package cacheproxy.routing;

import java.util.SplittableRandom;

/**
 * Selects the requests to reject when a fraction of all must be rejected: at random, or by the fair shares of tenants
 * if requests over quota have less value. A request remains charged to the shares in effect when it arrived.
 */
final class LoadShedding {
    private final SplittableRandom random;
    private FairShares shares;

    LoadShedding(SplittableRandom random) {
        this.random = random;
    }

    /** @param previous the settings until now; null for the first settings */
    void onSettings(RoutingSettings previous, RoutingSettings next) {
        boolean unchanged = previous != null
                && previous.tenants().equals(next.tenants())
                && previous.overQuotaPriorityWeight() == next.overQuotaPriorityWeight();
        if (!unchanged) {
            boolean byTenant =
                    next.overQuotaPriorityWeight() < 1 && next.tenants().size() > 1;
            shares = byTenant ? new FairShares(next.tenants()) : null;
        }
    }

    void recordRequest(double nowMs, int tenant) {
        if (shares != null) {
            shares.recordRequest(nowMs, tenant);
        }
    }

    /** The present fair shares; null if requests are rejected at random. */
    FairShares shares() {
        return shares;
    }

    /**
     * Whether to reject this request.
     *
     * @param excess the fraction of all requests to reject; none if it is not positive
     */
    boolean shouldReject(PendingRequest request, double excess) {
        FairShares charged = request.shares();
        double fraction = charged == null || excess <= 0
                ? excess
                : charged.rejectedFraction(request.request().tenant(), excess);
        return fraction > 0 && random.nextDouble() < fraction;
    }
}

package cacheproxy.routing;

import java.util.SplittableRandom;

/**
 * Which requests are rejected where a fraction of all must be: at random, or by the fair shares of their tenants where
 * requests over quota are worth less. A request stays charged to the shares that held when it arrived.
 */
final class LoadShedding {
    private final SplittableRandom random;
    private FairShares shares;

    LoadShedding(SplittableRandom random) {
        this.random = random;
    }

    /** @param previous the settings until now; null at the start */
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

    /** The shares that hold now; null where none are kept. */
    FairShares shares() {
        return shares;
    }

    /**
     * Whether to reject this request.
     *
     * @param excess the fraction of all requests to reject; none where it is not over 0
     */
    boolean shouldReject(PendingRequest request, double excess) {
        FairShares charged = request.shares();
        double fraction = charged == null || excess <= 0
                ? excess
                : charged.rejectedFraction(request.request().tenant(), excess);
        return fraction > 0 && random.nextDouble() < fraction;
    }
}

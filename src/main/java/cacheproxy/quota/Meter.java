package cacheproxy.quota;

/**
 * One quota of one node at work. What is its own it may use in any order within the window; what is lent to it comes at
 * a pace, and is counted apart: so an owner that comes back finds its rate free within moments, also where the window
 * is an hour long, and a borrower has not used up what is its own.
 */
final class Meter {
    /** Demand is what was asked for in about this time. */
    static final double DEMAND_DECAY_MS = 500;
    /** What is lent may be saved up for so long, which is no longer than the shortest window. */
    static final double MAX_CREDIT_MS = Limit.MIN_WINDOW_MS;

    final Limit limit;
    /** Whether siblings share the parent's; else only the cap counts. */
    final boolean borrows;

    private final SlidingCount totalCount;
    private final SlidingCount guaranteedCount;
    private double recentDemand;
    private double demandMs;
    private double lentPerMs;
    private double idlePerMs;
    private double credit;
    private double creditMs;
    private long debt;
    private double debtPaidMs;

    Meter(Limit limit, boolean borrows) {
        this.limit = limit;
        this.borrows = borrows;
        totalCount = new SlidingCount(limit.windowMs());
        guaranteedCount = borrows ? new SlidingCount(limit.windowMs()) : null;
    }

    /** One request counts for no more than the whole cap, or it would never be let in; the rest is settled as debt. */
    long chargeFor(long bytes, boolean write) {
        return Math.min(limit.cap(), limit.measure().of(bytes, write));
    }

    void recordDemand(double now, long much) {
        recentDemand = recentDemand * remainingFraction(now - demandMs) + much;
        demandMs = Math.max(demandMs, now);
    }

    private static double remainingFraction(double ms) {
        return Math.exp(-Math.max(0, ms) / DEMAND_DECAY_MS);
    }

    /** What is asked for, in units a millisecond. */
    double demandPerMs(double now) {
        return recentDemand * remainingFraction(now - demandMs) / DEMAND_DECAY_MS;
    }

    double guaranteePerMs() {
        return (double) limit.guarantee() / limit.windowMs();
    }

    double capPerMs() {
        return (double) limit.cap() / limit.windowMs();
    }

    /** The rate that it has to give to those beneath it. */
    double ratePerMs() {
        return borrows ? Math.min(capPerMs(), guaranteePerMs() + lentPerMs) : capPerMs();
    }

    /** What lay idle when shares were last dealt out beneath it, for each that asked and one more. */
    double idlePerMs() {
        return idlePerMs;
    }

    void idlePerMs(double perMs) {
        idlePerMs = perMs;
    }

    /**
     * It has begun to ask: what is spare is lent to it as if it had been for a while, or its first request would wait.
     */
    void startLending(double now, double perMs) {
        lend(now, perMs);
        credit = lentPerMs * MAX_CREDIT_MS;
    }

    /** From now on it is lent so much a millisecond, and never more than leads to its cap. */
    void lend(double now, double perMs) {
        refill(now, 0);
        lentPerMs = Math.min(perMs, capPerMs() - guaranteePerMs());
    }

    private void refill(double now, long wanted) {
        double most = lentPerMs * MAX_CREDIT_MS + (lentPerMs > 0 ? wanted : 0);
        credit = Math.min(most, credit + lentPerMs * Math.max(0, now - creditMs));
        creditMs = Math.max(creditMs, now);
    }

    /** 0 if so much may be charged now, else how long until it may, as far as can be told. */
    double waitMs(double now, long much) {
        if (much == 0) {
            return 0;
        }
        payDebt(now);
        double cap = totalCount.timeUntilCapacityMs(now, Math.min(limit.cap(), much + debt), limit.cap());
        if (debt > 0) {
            return Math.max(1, cap + (debt - 1) / limit.cap() * limit.windowMs());
        }
        if (cap > 0) {
            return Math.max(1, cap);
        }
        if (!borrows || fitsGuarantee(now, much)) {
            return 0;
        }
        refill(now, much);
        if (credit >= much) {
            return 0;
        }
        double lent = lentPerMs > 0 ? (much - credit) / lentPerMs : limit.windowMs();
        double mine = much <= limit.guarantee()
                ? guaranteedCount.timeUntilCapacityMs(now, much, limit.guarantee())
                : limit.windowMs();
        return Math.max(1, Math.min(lent, mine));
    }

    private boolean fitsGuarantee(double now, long much) {
        return guaranteedCount.sum(now) + much <= limit.guarantee();
    }

    /** Charges what {@link #waitMs} has let in; whether it was its own. */
    boolean charge(double now, long much) {
        totalCount.add(now, much);
        if (!borrows) {
            return true;
        }
        if (fitsGuarantee(now, much)) {
            guaranteedCount.add(now, much);
            return true;
        }
        credit -= much;
        return false;
    }

    /** As if it had not been charged. */
    void refund(double now, double at, long much, boolean wasOwn) {
        totalCount.subtract(now, at, much);
        if (borrows && wasOwn) {
            guaranteedCount.subtract(now, at, much);
        } else if (borrows) {
            credit += much;
            refill(now, much);
        }
    }

    /** It was so much and not what had been supposed: less is given back, more is charged now or owed. */
    void adjust(double now, double at, long supposed, long actual, boolean wasOwn) {
        if (actual <= supposed) {
            refund(now, at, supposed - actual, wasOwn);
        } else {
            payDebt(now);
            if (debt == 0) {
                debtPaidMs = now;
            }
            debt += actual - supposed;
            payDebt(now);
        }
    }

    /**
     * What is owed comes first, as the window makes room for it. While something is owed the window is full, so of
     * several that have passed unasked each has paid for as much as it holds, the last of them as the room that is
     * there now.
     */
    private void payDebt(double now) {
        if (debt == 0) {
            return;
        }
        long passed = Math.max(0, (long) ((now - debtPaidMs) / totalCount.lengthMs()) - 1);
        debt = passed > debt / limit.cap() ? 0 : debt - passed * limit.cap();
        long part = Math.min(debt, limit.cap() - totalCount.sum(now));
        if (part > 0) {
            totalCount.add(now, part);
            if (borrows) {
                guaranteedCount.add(now, part);
            }
            debt -= part;
            debtPaidMs = now;
        }
    }

    long debt() {
        return debt;
    }

    /** What was charged in the window that ends now. */
    long used(double now) {
        return totalCount.sum(now);
    }

    /** Whether nothing is lost by forgetting it. */
    boolean isIdle(double now) {
        return debt == 0 && totalCount.sum(now) == 0;
    }
}

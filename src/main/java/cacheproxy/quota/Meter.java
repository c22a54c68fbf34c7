package cacheproxy.quota;

/**
 * The state of one quota of one node. The guarantee may be used in any order within the window; what is lent beyond it
 * accrues at a rate and is counted separately. So an owner that becomes active again gets its rate back within moments,
 * even with a window of an hour, and borrowing does not use up the borrower's guarantee. Amounts in units of the
 * quota's measure, times in milliseconds.
 */
final class Meter {
    private final Limit limit;
    private final boolean borrows;
    private final SlidingCount totalCount;
    /** What was charged to the guarantee; null unless it borrows. */
    private final SlidingCount guaranteedCount;

    private final DemandRate demand = new DemandRate();
    private final LentCredit lent = new LentCredit();
    private double idlePerMs;
    private long debt;
    private double debtPaidMs;

    /**
     * Creates a meter without usage.
     *
     * @param borrows whether siblings share the parent's quota; if not, the cap alone counts
     */
    Meter(Limit limit, boolean borrows) {
        this.limit = limit;
        this.borrows = borrows;
        totalCount = new SlidingCount(limit.windowMs());
        guaranteedCount = borrows ? new SlidingCount(limit.windowMs()) : null;
    }

    Limit limit() {
        return limit;
    }

    /** The charge of a request: no more than the whole cap, or it would never be admitted; the rest becomes debt. */
    long chargeFor(long bytes, boolean write) {
        return Math.min(limit.cap(), limit.measure().of(bytes, write));
    }

    // ---- rates

    void recordDemand(double nowMs, long amount) {
        demand.add(nowMs, amount);
    }

    /** Recent demand, in units per millisecond. */
    double demandPerMs(double nowMs) {
        return demand.perMs(nowMs);
    }

    double guaranteePerMs() {
        return (double) limit.guarantee() / limit.windowMs();
    }

    double capPerMs() {
        return (double) limit.cap() / limit.windowMs();
    }

    /** The rate that its node can divide among its children. */
    double ratePerMs() {
        return borrows ? Math.min(capPerMs(), guaranteePerMs() + lent.ratePerMs()) : capPerMs();
    }

    /** The rate that was left over when its node last lent, for each active child and one more. */
    double idlePerMs() {
        return idlePerMs;
    }

    void setIdlePerMs(double perMs) {
        idlePerMs = perMs;
    }

    /** Starts to borrow at a rate, with full credit so that the first request does not wait. */
    void startBorrowing(double nowMs, double perMs) {
        borrow(nowMs, perMs);
        lent.fill();
    }

    /** Borrows at this rate from now on, up to its cap. */
    void borrow(double nowMs, double perMs) {
        lent.setRate(nowMs, Math.min(perMs, capPerMs() - guaranteePerMs()));
    }

    // ---- charges

    /** 0 if this amount may be charged now, else an estimate of how long until it may, at least 1 ms. */
    double waitMs(double nowMs, long amount) {
        if (amount == 0) {
            return 0;
        }
        payDebt(nowMs);
        double capWaitMs = totalCount.timeUntilCapacityMs(nowMs, Math.min(limit.cap(), amount + debt), limit.cap());
        if (debt > 0) {
            return Math.max(1, capWaitMs + (debt - 1) / limit.cap() * limit.windowMs());
        }
        if (capWaitMs > 0) {
            return Math.max(1, capWaitMs);
        }
        if (!borrows || fitsGuarantee(nowMs, amount)) {
            return 0;
        }
        lent.refill(nowMs, amount);
        if (lent.covers(amount)) {
            return 0;
        }
        double lentWaitMs = lent.waitMs(amount, (double) limit.windowMs());
        double guaranteeWaitMs = amount <= limit.guarantee()
                ? guaranteedCount.timeUntilCapacityMs(nowMs, amount, limit.guarantee())
                : limit.windowMs();
        return Math.max(1, Math.min(lentWaitMs, guaranteeWaitMs));
    }

    private boolean fitsGuarantee(double nowMs, long amount) {
        return guaranteedCount.sum(nowMs) + amount <= limit.guarantee();
    }

    /**
     * Charges an amount that {@link #waitMs} admits; true if it is charged to the guarantee, false if to lent credit.
     */
    boolean charge(double nowMs, long amount) {
        totalCount.add(nowMs, amount);
        if (!borrows) {
            return true;
        }
        if (fitsGuarantee(nowMs, amount)) {
            guaranteedCount.add(nowMs, amount);
            return true;
        }
        lent.subtract(amount);
        return false;
    }

    /**
     * Refunds a charge.
     *
     * @param chargedMs when it was charged
     * @param guaranteed as {@link #charge} has returned
     */
    void refund(double nowMs, double chargedMs, long amount, boolean guaranteed) {
        totalCount.subtract(nowMs, chargedMs, amount);
        if (borrows && guaranteed) {
            guaranteedCount.subtract(nowMs, chargedMs, amount);
        } else if (borrows) {
            lent.add(amount);
            lent.refill(nowMs, amount);
        }
    }

    /** Corrects a charge to the actual amount: refunds the excess, or adds what is missing to the debt. */
    void adjust(double nowMs, double chargedMs, long charged, long actual, boolean guaranteed) {
        if (actual <= charged) {
            refund(nowMs, chargedMs, charged - actual, guaranteed);
            return;
        }
        payDebt(nowMs);
        if (debt == 0) {
            debtPaidMs = nowMs;
        }
        debt += actual - charged;
        payDebt(nowMs);
    }

    /**
     * Pays debt as the window has capacity, before any new charge. While there is debt the window is full: each window
     * that has passed since the last payment has paid a whole cap, and the current one pays what it has capacity for.
     */
    private void payDebt(double nowMs) {
        if (debt == 0) {
            return;
        }
        long passedWindows = Math.max(0, (long) ((nowMs - debtPaidMs) / totalCount.lengthMs()) - 1);
        debt = passedWindows > debt / limit.cap() ? 0 : debt - passedWindows * limit.cap();
        long payment = Math.min(debt, limit.cap() - totalCount.sum(nowMs));
        if (payment > 0) {
            totalCount.add(nowMs, payment);
            if (borrows) {
                guaranteedCount.add(nowMs, payment);
            }
            debt -= payment;
            debtPaidMs = nowMs;
        }
    }

    long debt() {
        return debt;
    }

    /** What was charged in the window that ends now. */
    long used(double nowMs) {
        return totalCount.sum(nowMs);
    }

    /** Whether it has neither use nor debt, so that a new meter would decide the same. */
    boolean isIdle(double nowMs) {
        return debt == 0 && totalCount.sum(nowMs) == 0;
    }
}

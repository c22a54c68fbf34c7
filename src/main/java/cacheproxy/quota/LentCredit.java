package cacheproxy.quota;

/**
 * A token bucket that fills at the rate that a quota is lent beyond its guarantee. Amounts in units of the quota's
 * measure, times in milliseconds.
 */
final class LentCredit {
    /** How long credit may accumulate; not longer than the shortest window. */
    static final double MAX_SAVED_MS = Limit.MIN_WINDOW_MS;

    private double ratePerMs;
    private double credit;
    private double updatedMs;

    double ratePerMs() {
        return ratePerMs;
    }

    /** Sets the rate from now on. */
    void setRate(double nowMs, double perMs) {
        refill(nowMs, 0);
        ratePerMs = perMs;
    }

    /** Fills the bucket. */
    void fill() {
        credit = ratePerMs * MAX_SAVED_MS;
    }

    /** Brings the credit up to date; it may exceed the bucket by the amount of a request that waits for it. */
    void refill(double nowMs, long awaited) {
        double max = ratePerMs * MAX_SAVED_MS + (ratePerMs > 0 ? awaited : 0);
        credit = Math.min(max, credit + ratePerMs * Math.max(0, nowMs - updatedMs));
        updatedMs = Math.max(updatedMs, nowMs);
    }

    boolean covers(long amount) {
        return credit >= amount;
    }

    /**
     * How long until the credit covers an amount.
     *
     * @param defaultMs if nothing is lent
     */
    double waitMs(long amount, double defaultMs) {
        return ratePerMs > 0 ? (amount - credit) / ratePerMs : defaultMs;
    }

    void add(long amount) {
        credit += amount;
    }

    void subtract(long amount) {
        credit -= amount;
    }
}

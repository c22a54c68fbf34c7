package cacheproxy.route;

/**
 * How many further attempts there may be: a share of the requests, saved up for some seconds, and a few a second
 * however few requests there are. Retries then can't multiply the load of a fleet that fails; the form is that of
 * Finagle's budget, after "Handling Overload" (Site Reliability Engineering, chapter 21).
 */
final class RetryBudget {
    /** What is not used within this time is lost. */
    static final double SAVED_MS = 10_000;

    private final double share;
    private final double floorPerMs;
    private double saved;
    private double rate;
    private double atMs = Double.NaN;

    /** {@code share}: attempts a request; infinite for no bound. {@code floor}: attempts a second. */
    RetryBudget(double share, double floor) {
        this.share = share;
        this.floorPerMs = floor / 1000;
        saved = floor * SAVED_MS / 1000;
    }

    /** Time passes: the floor comes in, and what has been saved is held to ten seconds' worth. */
    private void pass(double now) {
        double ms = Double.isNaN(atMs) ? 0 : Math.max(0, now - atMs);
        atMs = now;
        rate *= Math.exp(-ms / SAVED_MS);
        saved = Math.min(rate * share + floorPerMs * SAVED_MS, saved + ms * floorPerMs);
    }

    void request(double now) {
        if (share == Double.POSITIVE_INFINITY) {
            return;
        }
        pass(now);
        rate++;
        saved += share;
    }

    /** Whether a further attempt may go out; if so, it is taken from the budget. */
    boolean take(double now) {
        if (share == Double.POSITIVE_INFINITY) {
            return true;
        }
        pass(now);
        // A thousandth of an attempt is what sums of shares may be off by.
        if (saved < 0.999) {
            return false;
        }
        saved--;
        return true;
    }
}

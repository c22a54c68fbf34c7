package cacheproxy.route;

/**
 * How many retries there may be: a ratio of the requests, saved up for {@link #SAVED_MS}, and some a second however few
 * requests there are, so that retries can't multiply the load of a failing fleet. Follows Finagle's RetryBudget, after
 * "Handling Overload" (Site Reliability Engineering, chapter 21). Times in milliseconds of one clock.
 */
final class RetryBudget {
    /** How long a retry that is not used stays saved. */
    static final double SAVED_MS = 10_000;

    /** One retry, less what sums of ratios may be off by. */
    private static final double ONE_RETRY = 0.999;

    private final double ratio;
    private final double minRetriesPerMs;
    /** Retries that may be made now. */
    private double saved;
    /** Requests of the last {@link #SAVED_MS}, decaying exponentially. */
    private double recentRequests;
    /** When the budget was last brought up to date; NaN before the first time. */
    private double updatedMs = Double.NaN;

    /**
     * A budget that begins with the saved minimum.
     *
     * @param ratio retries a request, 0 or more; infinite: not bounded
     * @param minRetriesPerSecond retries a second that are allowed however few requests there are
     */
    RetryBudget(double ratio, double minRetriesPerSecond) {
        this.ratio = ratio;
        this.minRetriesPerMs = minRetriesPerSecond / 1000;
        saved = minRetriesPerSecond * SAVED_MS / 1000;
    }

    /** Brings the budget up to date: adds the minimum of the time since, and caps what is saved. */
    private void advance(double nowMs) {
        double elapsedMs = Double.isNaN(updatedMs) ? 0 : Math.max(0, nowMs - updatedMs);
        updatedMs = nowMs;
        recentRequests *= Math.exp(-elapsedMs / SAVED_MS);
        saved = Math.min(recentRequests * ratio + minRetriesPerMs * SAVED_MS, saved + elapsedMs * minRetriesPerMs);
    }

    /** Counts a request. */
    void onRequest(double nowMs) {
        if (ratio == Double.POSITIVE_INFINITY) {
            return;
        }
        advance(nowMs);
        recentRequests++;
        saved += ratio;
    }

    /** Whether a retry may be made; if so, it is taken from the budget. */
    boolean tryTake(double nowMs) {
        if (ratio == Double.POSITIVE_INFINITY) {
            return true;
        }
        advance(nowMs);
        if (saved < ONE_RETRY) {
            return false;
        }
        saved--;
        return true;
    }
}

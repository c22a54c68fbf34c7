package cacheproxy.route;

/**
 * Limits retries to a ratio of the requests, saved up for {@link #SAVED_MS}, plus a minimum per second that does not
 * depend on the number of requests, so that retries can't multiply the load of a failing fleet. Follows Finagle's
 * RetryBudget, after "Handling Overload" (Site Reliability Engineering, chapter 21). Times in milliseconds of one
 * clock.
 */
final class RetryBudget {
    /** How long unused retries are saved. */
    static final double SAVED_MS = 10_000;

    /** One retry, less the rounding error of a sum of ratios. */
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
     * Creates a budget that starts with the minimum of {@link #SAVED_MS} saved.
     *
     * @param ratio retries per request, 0 or more; infinite: not bounded
     * @param minRetriesPerSecond retries per second that are allowed for any number of requests
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

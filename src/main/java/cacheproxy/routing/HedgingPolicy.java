package cacheproxy.routing;

import java.util.function.Supplier;

/**
 * Decides when an attempt at a cache endpoint is overdue, and whether a hedge (a second attempt beside it or in its
 * place) may follow. Protects requests from unresponsive and hung endpoints. A budget limits hedges to a fraction of
 * all responses, so that they don't slow down an already slow fleet. Times in milliseconds.
 */
final class HedgingPolicy {
    /** Hedges earned by each response of an endpoint; hedging adds at most a twentieth of the load. */
    private static final double HEDGES_PER_RESPONSE = 0.05;
    /** The most hedges that may accumulate for a burst of overdue attempts. */
    private static final double MAX_BUDGET = 5;
    /** Deviations above the mean latency after which responses of a healthy endpoint are rare. */
    private static final int DEVIATIONS = 3;
    /** An endpoint gets at least the remaining time divided by this. */
    private static final int MIN_DELAY_DIVISOR = 4;

    private final Supplier<RoutingSettings> settings;
    private final LatencyEstimates latency;
    private double budget = MAX_BUDGET;

    HedgingPolicy(Supplier<RoutingSettings> settings, LatencyEstimates latency) {
        this.settings = settings;
        this.latency = latency;
    }

    /** Whether the attempt at a cache endpoint that has just been sent may be hedged. */
    boolean applies(PendingRequest request) {
        return request.isIdempotent()
                && request.attemptCount() < request.maxAttempts(settings.get())
                && request.attemptCount() <= RetryPolicy.MAX_ENDPOINT_ATTEMPTS;
    }

    /**
     * The time after which an attempt is overdue: the mean latency plus three deviations, scaled by the request's cost
     * hint, but early enough that the successor and the origin can still respond within the latency objective.
     */
    double delayMs(double nowMs, PendingRequest request) {
        double expectedMs = (latency.endpointMs() + DEVIATIONS * latency.endpointDeviationMs())
                * latency.relativeCost(request.request());
        double remainingMs = Math.min(
                request.serviceClass().latencyObjectiveMs(), request.request().deadlineMs() - nowMs);
        return Math.max(
                remainingMs / MIN_DELAY_DIVISOR, Math.min(expectedMs, remainingMs - 2 * latency.originFetchMs()));
    }

    /** Whether a hedge may be sent now; if so, it is deducted from the budget. */
    boolean tryAcquire(double nowMs, PendingRequest request) {
        boolean tooLate = request.request().deadlineMs() - nowMs < latency.originFetchMs();
        boolean allowed = settings.get().hedgingAllowed() || settings.get().cancellationAllowed();
        if (budget < 1 || tooLate || !allowed) {
            return false;
        }
        budget--;
        return true;
    }

    /** A cache endpoint has responded, which adds to the budget. */
    void recordResponse() {
        budget = Math.min(MAX_BUDGET, budget + HEDGES_PER_RESPONSE);
    }

    /** A hedge got the response, which refunds its budget. */
    void recordSuccessfulHedge() {
        budget++;
    }
}

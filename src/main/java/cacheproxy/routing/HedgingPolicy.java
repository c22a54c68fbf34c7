package cacheproxy.routing;

import java.util.function.Supplier;

/**
 * When an attempt at a cache endpoint is overdue, and whether a hedged request (a second attempt beside or in place of
 * it) may follow. Guards against silent and hung endpoints. A budget bounds hedges to a part of all answers, so that a
 * slow fleet isn't slowed further by them. Times in milliseconds.
 */
final class HedgingPolicy {
    /** Hedged requests earned by each answer of an endpoint: hedging adds at most a twentieth of load. */
    private static final double HEDGES_PER_RESPONSE = 0.05;
    /** Hedged requests that may be saved up for a burst of overdue attempts. */
    private static final double MAX_BUDGET = 5;
    /** Over the usual time: sound answers later than that are rare. */
    private static final int DEVIATIONS = 3;
    /** The part of the time left, as its inverse, that an endpoint has at least. */
    private static final int MIN_DELAY_DIVISOR = 4;

    private final Supplier<RoutingSettings> settings;
    private final LatencyEstimates latency;
    private double budget = MAX_BUDGET;

    HedgingPolicy(Supplier<RoutingSettings> settings, LatencyEstimates latency) {
        this.settings = settings;
        this.latency = latency;
    }

    /** Whether the attempt at a cache endpoint that has just begun is watched. */
    boolean applies(PendingRequest request) {
        return request.isIdempotent()
                && request.attemptCount() < request.maxAttempts(settings.get())
                && request.attemptCount() <= RetryPolicy.MAX_ENDPOINT_ATTEMPTS;
    }

    /**
     * How long an endpoint may take: three deviations over the usual time for the work hinted at, but early enough that
     * its successor and the origin can still answer within the latency objective.
     */
    double delayMs(double nowMs, PendingRequest request) {
        double expectedMs = (latency.endpointMs() + DEVIATIONS * latency.endpointDeviationMs())
                * latency.relativeCost(request.request());
        double remainingMs = Math.min(
                request.serviceClass().latencyObjectiveMs(), request.request().deadlineMs() - nowMs);
        return Math.max(
                remainingMs / MIN_DELAY_DIVISOR, Math.min(expectedMs, remainingMs - 2 * latency.originFetchMs()));
    }

    /** Whether a hedge may follow now, which takes it off the budget. */
    boolean tryAcquire(double nowMs, PendingRequest request) {
        boolean tooLate = request.request().deadlineMs() - nowMs < latency.originFetchMs();
        boolean allowed = settings.get().hedgingAllowed() || settings.get().cancellationAllowed();
        if (budget < 1 || tooLate || !allowed) {
            return false;
        }
        budget--;
        return true;
    }

    /** A cache endpoint has answered: the budget grows. */
    void recordResponse() {
        budget = Math.min(MAX_BUDGET, budget + HEDGES_PER_RESPONSE);
    }

    /** A hedge was answered, so it was worth its while: its part of the budget comes back. */
    void recordSuccessfulHedge() {
        budget++;
    }
}

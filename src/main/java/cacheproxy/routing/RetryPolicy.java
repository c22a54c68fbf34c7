package cacheproxy.routing;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Decides whether and when a request gets another attempt, and how it is answered if it gets none. The decision depends
 * on the request's service class and attempts so far, the limits in the settings, and the mean duration of an origin
 * fetch. Times in milliseconds.
 */
final class RetryPolicy {
    /** Attempts at cache endpoints before a request without a response goes to the origin. */
    static final int MAX_ENDPOINT_ATTEMPTS = 2;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;
    private final LatencyEstimates latency;

    RetryPolicy(Supplier<RoutingSettings> settings, SplittableRandom random, LatencyEstimates latency) {
        this.settings = settings;
        this.random = random;
        this.latency = latency;
    }

    /** The next step for a request that has no final answer yet when one of its attempts ends. */
    sealed interface NextStep {}

    /** Make another attempt now, if one is allowed. */
    record RetryNow() implements NextStep {}

    /** Make another attempt after this delay, in milliseconds. */
    record RetryAfter(double delayMs) implements NextStep {}

    /** Make no further attempt. */
    record GiveUp() implements NextStep {}

    /** Wait for the attempts that are still in flight. */
    record AwaitInFlight() implements NextStep {}

    /**
     * The next step after the end of an attempt.
     *
     * @param atOrigin whether the attempt was sent to the origin
     */
    NextStep next(PendingRequest request, AttemptEnd end, boolean atOrigin) {
        boolean write = request.request().write();
        if (end.outcome() == AttemptOutcome.MISS) {
            if (isFetchInFlight(request, end)) {
                return new RetryAfter(latency.originFetchMs());
            }
        } else if (atOrigin && write && end.outcome() == AttemptOutcome.REJECTED && hasAttemptsLeft(request, 1)) {
            // Jitter keeps writes that were rejected together from being retried together.
            return new RetryAfter(latency.originFetchMs() * (0.5 + random.nextDouble()));
        }
        if (atOrigin && !write) {
            return new GiveUp();
        }
        boolean mayHedge = request.isIdempotent() && settings.get().hedgingAllowed();
        return !request.hasInFlight() || mayHedge ? new RetryNow() : new AwaitInFlight();
    }

    /**
     * Whether the endpoint reported with a miss that another proxy is already fetching the object, and two attempts are
     * left: one to read the object from the endpoint, and one for the origin if that fetch fails.
     */
    boolean isFetchInFlight(PendingRequest request, AttemptEnd end) {
        return end.note() == LoadBalancer.NOTE_FETCH_IN_FLIGHT && hasAttemptsLeft(request, 2);
    }

    boolean hasAttemptsLeft(PendingRequest request, int count) {
        return request.attemptCount() + count <= request.maxAttempts(settings.get());
    }

    /**
     * Whether another attempt is left, the deadline has not passed, and a response would still have value to the
     * client. Otherwise the request is answered at once.
     */
    boolean isAttemptUseful(double nowMs, PendingRequest request) {
        boolean worthless = request.hasNoLateValue() && nowMs > request.objectiveEndMs();
        return !worthless
                && hasAttemptsLeft(request, 1)
                && nowMs < request.request().deadlineMs();
    }

    /** Whether an attempt at this endpoint can't execute the request more often than its service class allows. */
    boolean isSafe(double nowMs, PendingRequest request, EndpointEntry endpoint) {
        boolean mayHedge = request.isIdempotent() && settings.get().hedgingAllowed();
        if (request.hasInFlight() && !mayHedge) {
            return false;
        }
        if (!request.mayHaveExecuted() || request.isIdempotent()) {
            return true;
        }
        // Endpoints check the deduplication window when the retry reaches them, which may take up to the connect
        // timeout
        // if a new connection is needed. SafetyRules repeats this check when the attempt is written; a retry planned
        // for
        // a later arrival would only be forbidden then.
        double arrivalMs = nowMs + settings.get().connectTimeoutMs();
        RetrySafety safety = RetrySafety.of(
                request.serviceClass(),
                request.firstPossibleExecutionSentMs(),
                request.firstPossibleExecutionEndpoint().endpoint().location(),
                arrivalMs,
                endpoint.endpoint().location());
        return safety == RetrySafety.SAFE;
    }

    /**
     * Whether the final answer is a rejection, which guarantees the client a safe retry, instead of a failure. Stricter
     * than {@code SafetyRules.mayReject}: a keyed request that may have been executed is failed.
     */
    boolean willReject(PendingRequest request) {
        return request.isIdempotent() || (!request.mayHaveExecuted() && !request.hasInFlight());
    }

    /**
     * The delay after which a rejected client should retry: half the mean endpoint latency, the average time until an
     * endpoint completes its present work and has capacity again. Keeps clients from retrying at once and sustaining
     * the overload for which they were rejected.
     */
    double retryAfterMs() {
        return Math.min(settings.get().maxRetryAfterMs(), latency.endpointMs() / 2);
    }
}

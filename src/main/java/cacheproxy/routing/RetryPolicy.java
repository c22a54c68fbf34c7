package cacheproxy.routing;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Whether a request gets another attempt, when, and how it is answered if it gets none. Inputs: the class of the
 * request and its attempts so far, the settings' limits, and how long a fetch usually takes. Times in milliseconds.
 */
final class RetryPolicy {
    /** Attempts at cache endpoints, before one that has had no answer goes to the origin. */
    static final int MAX_ENDPOINT_ATTEMPTS = 2;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;
    private final LatencyEstimates latency;

    RetryPolicy(Supplier<RoutingSettings> settings, SplittableRandom random, LatencyEstimates latency) {
        this.settings = settings;
        this.random = random;
        this.latency = latency;
    }

    /** What follows the end of an attempt of a request that is owed its answer still. */
    sealed interface NextStep {}

    /** Another attempt now, if one may be made. */
    record RetryNow() implements NextStep {}

    /** Another attempt after this delay, in milliseconds. */
    record RetryAfter(double delayMs) implements NextStep {}

    /** No further attempt. */
    record GiveUp() implements NextStep {}

    /** The attempts that are in flight decide. */
    record AwaitOthers() implements NextStep {}

    /**
     * What follows the end of an attempt.
     *
     * @param atOrigin whether that is the origin
     */
    NextStep next(PendingRequest request, AttemptEnd end, boolean atOrigin) {
        boolean write = request.request().write();
        if (end.outcome() == AttemptOutcome.MISS) {
            if (isFetchInFlight(request, end)) {
                return new RetryAfter(latency.originFetchMs());
            }
        } else if (atOrigin && write && end.outcome() == AttemptOutcome.REJECTED && hasAttemptsLeft(request, 1)) {
            // Writes that were rejected together must not come again together.
            return new RetryAfter(latency.originFetchMs() * (0.5 + random.nextDouble()));
        }
        if (atOrigin && !write) {
            return new GiveUp();
        }
        boolean mayHedge = request.isIdempotent() && settings.get().hedgingAllowed();
        return !request.hasInFlight() || mayHedge ? new RetryNow() : new AwaitOthers();
    }

    /**
     * Whether the endpoint that lacks the object says that another proxy fetches it, so that it will be there soon. One
     * attempt must be left for the endpoint, and one for the origin if that fetch fails.
     */
    boolean isFetchInFlight(PendingRequest request, AttemptEnd end) {
        return end.note() == LoadBalancer.NOTE_FETCH_IN_FLIGHT && hasAttemptsLeft(request, 2);
    }

    boolean hasAttemptsLeft(PendingRequest request, int count) {
        return request.attemptCount() + count <= request.maxAttempts(settings.get());
    }

    /** Whether anyone gains from another attempt, and one is left. What nobody gains from is answered at once. */
    boolean isAttemptUseful(double nowMs, PendingRequest request) {
        boolean valueless = request.isValuelessWhenLate() && nowMs > request.objectiveEndMs();
        return !valueless
                && hasAttemptsLeft(request, 1)
                && nowMs < request.request().deadlineMs();
    }

    /** Whether an attempt at this endpoint can't make the request take effect more often than its class allows. */
    boolean isSafe(double nowMs, PendingRequest request, EndpointEntry endpoint) {
        boolean mayHedge = request.isIdempotent() && settings.get().hedgingAllowed();
        if (request.hasInFlight() && !mayHedge) {
            return false;
        }
        if (!request.mayHaveExecuted() || request.isIdempotent()) {
            return true;
        }
        // A connection for it may take its time to come up, and endpoints go by when the repeat reaches them. {@code
        // SafetyRules}
        // is asked again when the attempt is written; planned later than this, it could only be forbidden then.
        double arrivalMs = nowMs + settings.get().connectTimeoutMs();
        RetrySafety safety = RetrySafety.of(
                request.serviceClass(),
                request.firstMaybeExecutedSentMs(),
                request.firstMaybeExecutedEndpoint().endpoint().location(),
                arrivalMs,
                endpoint.endpoint().location());
        return safety == RetrySafety.SAFE;
    }

    /**
     * Whether it is rejected, which promises its client that a repeat does no harm; it fails otherwise. Stricter than
     * {@code SafetyRules.mayReject}: a keyed request that may have run is failed.
     */
    boolean willReject(PendingRequest request) {
        return request.isIdempotent() || (!request.mayHaveExecuted() && !request.hasInFlight());
    }

    /**
     * When a rejected client should come back: an endpoint's present work is half done on average, and then it has
     * capacity again. Guards against clients that repeat at once and keep up the overload they were rejected for.
     */
    double retryAfterMs() {
        return Math.min(settings.get().maxRetryAfterMs(), latency.endpointMs() / 2);
    }
}

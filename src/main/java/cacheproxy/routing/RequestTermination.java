package cacheproxy.routing;

import java.util.Map;
import java.util.function.Supplier;

/**
 * Ends requests: gives the one final answer and cancels attempts that are still in flight. Removes a request once it is
 * answered and all its attempts have ended.
 */
final class RequestTermination {
    private final Supplier<RoutingSettings> settings;
    private final Map<Integer, PendingRequest> pending;
    private final RetryPolicy retries;
    private final FetchCoalescer fetches;

    RequestTermination(
            Supplier<RoutingSettings> settings,
            Map<Integer, PendingRequest> pending,
            RetryPolicy retries,
            FetchCoalescer fetches) {
        this.settings = settings;
        this.pending = pending;
        this.retries = retries;
        this.fetches = fetches;
    }

    /**
     * Answers a request that gets no further attempt. An idempotent request with an attempt in flight is left to that
     * attempt.
     */
    void giveUp(PendingRequest request, RoutingActions out) {
        if (request.hasInFlight() && request.isIdempotent()) {
            return;
        }
        answer(request, out);
        finish(request);
    }

    /** Gives the final answer of a request that has none yet. */
    void answer(PendingRequest request, RoutingActions out) {
        if (retries.willReject(request)) {
            out.reject(request.id(), retries.retryAfterMs());
        } else {
            out.fail(request.id());
        }
    }

    /** Marks the request as done, and removes it if nothing is in flight. */
    void finish(PendingRequest request) {
        request.finish();
        if (!request.hasInFlight()) {
            pending.remove(request.id());
        }
    }

    /** Stops all work for a request, except a streaming response and a fetch that other requests wait for. */
    void abandon(PendingRequest request, RoutingActions out) {
        boolean streaming = request.isStreaming();
        finish(request);
        if (!streaming && !fetches.hasWaiters(request)) {
            cancelAttempts(request, out);
        }
    }

    /** Cancels the attempts in flight if the settings allow it. */
    void cancelAttempts(PendingRequest request, RoutingActions out) {
        if (!settings.get().cancellationAllowed()) {
            return;
        }
        for (int attempt = 0; attempt < request.attemptCount(); attempt++) {
            if (request.isInFlight(attempt)) {
                out.cancel(request.id(), attempt);
            }
        }
    }
}

package cacheproxy.routing;

import java.util.Map;
import java.util.function.Supplier;

/**
 * How a request ends: its one final answer, and what becomes of attempts that are still in flight then. Forgets it once
 * it is answered and all its attempts have ended.
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

    /** Answers a request that gets no further attempt, unless one that is in flight may still answer it. */
    void giveUp(PendingRequest request, RoutingActions out) {
        if (request.hasInFlight() && request.isIdempotent()) {
            return;
        }
        answer(request, out);
        finish(request);
    }

    /** Orders the final answer of a request that has had none. */
    void answer(PendingRequest request, RoutingActions out) {
        if (retries.willReject(request)) {
            out.reject(request.id(), retries.retryAfterMs());
        } else {
            out.fail(request.id());
        }
    }

    /** It gets nothing more. */
    void finish(PendingRequest request) {
        request.finish();
        if (!request.hasInFlight()) {
            pending.remove(request.id());
        }
    }

    /** Stops all work for a request, but for an answer that streams and a fetch that others wait for. */
    void abandon(PendingRequest request, RoutingActions out) {
        boolean streaming = request.isStreaming();
        finish(request);
        if (!streaming && !fetches.hasWaiters(request)) {
            cancelAttempts(request, out);
        }
    }

    /** Cancels what is in flight, where the settings allow it. */
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

package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.metrics.RequestTrace;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.proxy.upstream.UpstreamConnection;
import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import java.util.List;

/**
 * Ends attempts, each exactly once: on its result, its timeout, a cancellation or the completion of its request. The
 * first response to a request is passed to its client; later ones are discarded. Event loop only.
 */
final class AttemptLifecycle {
    private static final int NO_NOTE = 0;

    private final ProxyClock clock;
    private final RequestSettings settings;
    private final SerialExecutor executor;
    private final SerialLoadBalancer loadBalancer;
    private final RequestCompletion completion;
    private final RequestTrace trace;

    AttemptLifecycle(
            ProxyClock clock,
            RequestSettings settings,
            SerialExecutor executor,
            SerialLoadBalancer loadBalancer,
            RequestCompletion completion,
            RequestTrace trace) {
        this.clock = clock;
        this.settings = settings;
        this.executor = executor;
        this.loadBalancer = loadBalancer;
        this.completion = completion;
        this.trace = trace;
    }

    /**
     * Ends an attempt. If it has already ended, only the response is released.
     *
     * @param note the code that the server sent with the response, as in {@link AttemptEnd}; 0 for none
     * @param report the server's load report; null if it sent none
     * @param response the server's response, which this method releases or passes on; null if there is none
     */
    void end(RequestAttempt attempt, AttemptOutcome outcome, int note, float[] report, ServerResponse response) {
        if (attempt.ended) {
            release(response);
            return;
        }
        attempt.ended = true;
        attempt.mayHaveRun = outcome.mayHaveRun();
        Timers.cancel(attempt.timer);
        double endMs = attempt.isStreaming() ? attempt.firstByteMs : clock.now();
        double elapsedMs = endMs - attempt.startedMs;
        if (attempt.isHealthCheck()) {
            loadBalancer.healthCheckEnded(attempt.server, outcome, elapsedMs, report);
            return;
        }
        ClientRequest request = attempt.request;
        trace.record(attempt.traceEntry(clock.now(), RequestTrace.Step.ATTEMPT_ENDED, outcome.key()));
        request.attemptsInFlight--;
        deliverResponse(attempt, response);
        AttemptEnd end = new AttemptEnd(
                request.id, attempt.index, attempt.server, outcome, elapsedMs, request.isCompleted(), note, report);
        loadBalancer.attemptEnded(end, () -> completion.fail(request));
        completion.release(request);
    }

    /** Ends an attempt without a response. */
    void end(RequestAttempt attempt, AttemptOutcome outcome) {
        end(attempt, outcome, NO_NOTE, null, null);
    }

    /** Ends an attempt without a response, after the running call of the load balancer has returned. */
    void endSerially(RequestAttempt attempt, AttemptOutcome outcome) {
        executor.runSerially(() -> end(attempt, outcome));
    }

    private void deliverResponse(RequestAttempt attempt, ServerResponse response) {
        ClientRequest request = attempt.request;
        if (request.isCompleted()) {
            release(response);
        } else if (attempt.isStreaming()) {
            endStream(request, response != null);
        } else if (response != null) {
            completion.complete(request, RequestState.ANSWERED, RequestOutcome.SUCCEEDED);
            request.responseWriter.writeResponse(response);
        }
    }

    private void endStream(ClientRequest request, boolean complete) {
        completion.complete(
                request, RequestState.ANSWERED, complete ? RequestOutcome.SUCCEEDED : RequestOutcome.FAILED);
        if (complete) {
            request.responseWriter.endValue();
        } else {
            request.responseWriter.abort();
        }
    }

    private static void release(ServerResponse response) {
        if (response != null) {
            response.release();
        }
    }

    /**
     * Ends an attempt whose timeout has expired. Unless none of it was sent, it ends as {@code TIMEOUT}, as the server
     * may have executed it or may still do so. If it ended as a failed connection, which counts as not executed, a
     * write could be rejected as safe to repeat or be retried, and take effect twice.
     */
    void expire(RequestAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        if (attempt.connection == null) {
            end(attempt, AttemptOutcome.NOT_SENT);
            return;
        }
        boolean unsent = attempt.connection.abandon(attempt);
        end(attempt, unsent ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT);
    }

    /**
     * Cancels an attempt whose response is not being streamed yet. While the request is open, another attempt may
     * follow it. Where hedging is not allowed, an attempt then stays in flight if it can't be stopped, because other
     * attempts are in flight on its connection.
     */
    void cancel(RequestAttempt attempt) {
        if (attempt.ended || attempt.isStreaming()) {
            return;
        }
        UpstreamConnection connection = attempt.connection;
        boolean mustNotOverlap =
                !attempt.request.isCompleted() && !settings.routing().hedgingAllowed();
        if (mustNotOverlap && connection != null && !connection.canCancelAttempt()) {
            return;
        }
        if (connection != null) {
            connection.abandon(attempt);
        }
        endSerially(attempt, AttemptOutcome.CANCELLED);
    }

    /** Cancels the attempts of a request whose responses are being streamed, as the client has disconnected. */
    void cancelStreams(ClientRequest request) {
        for (RequestAttempt attempt : request.attempts) {
            if (attempt.isStreaming() && !attempt.ended) {
                attempt.connection.abandon(attempt);
                end(attempt, AttemptOutcome.CANCELLED);
            }
        }
    }

    /** Expires all attempts of a request. */
    void expireAll(ClientRequest request) {
        List.copyOf(request.attempts).forEach(this::expire);
    }

    /** Ends the attempts of a request that have not begun to be sent. */
    void endUnsent(ClientRequest request) {
        for (RequestAttempt attempt : request.attempts) {
            if (!attempt.ended && (attempt.connection == null || attempt.connection.removeUnsent(attempt))) {
                end(attempt, AttemptOutcome.NOT_SENT);
            }
        }
    }
}

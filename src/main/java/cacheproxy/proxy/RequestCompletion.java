package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.RequestTrace;
import java.util.function.Consumer;

/**
 * Completes requests: records the one outcome of each, checks it against the safety rules and releases the resources of
 * the request. Event loop only.
 */
final class RequestCompletion {
    private final ProxyClock clock;
    private final RequestSettings settings;
    private final RequestTable requests;
    private final RequestMetrics metrics;
    private final RuleMonitor rules;
    private final RequestTrace trace;
    private final Consumer<ClientRequest> endUnsentAttempts;

    /** {@code endUnsentAttempts}: ends the attempts of a completed request that have not begun to be sent. */
    RequestCompletion(
            ProxyClock clock,
            RequestSettings settings,
            RequestTable requests,
            RequestMetrics metrics,
            RuleMonitor rules,
            RequestTrace trace,
            Consumer<ClientRequest> endUnsentAttempts) {
        this.clock = clock;
        this.settings = settings;
        this.requests = requests;
        this.metrics = metrics;
        this.rules = rules;
        this.trace = trace;
        this.endUnsentAttempts = endUnsentAttempts;
    }

    /** Sets the final state of a request and records its outcome; the caller writes the response and calls release. */
    void complete(ClientRequest request, RequestState state, RequestOutcome outcome) {
        boolean wasStreaming = request.isStreaming();
        if (!request.transitionTo(state)) {
            rules.recordViolation(
                    RuleViolation.ANSWERED_TWICE, request, message -> message.with("new_state", state.key()));
        }
        double nowMs = clock.now();
        if (state == RequestState.ANSWERED && !wasStreaming && isLate(request, nowMs)) {
            rules.recordViolation(RuleViolation.ANSWERED_LATE, request, message -> addTimes(message, request, nowMs));
        }
        recordOutcome(request, outcome);
    }

    private static boolean isLate(ClientRequest request, double nowMs) {
        return nowMs - request.deadlineMs > SafetyRules.FINAL_ANSWER_SLACK_MS;
    }

    private static LogMessage addTimes(LogMessage message, ClientRequest request, double nowMs) {
        return message.with("late_ms", Math.round(nowMs - request.deadlineMs))
                .with("received_ms", Math.round(request.receivedMs))
                .with("queued_ms", Math.round(request.acceptedMs - request.receivedMs))
                .with("open_ms", Math.round(nowMs - request.acceptedMs));
    }

    /** Records the outcome of a request that is already in a final state. */
    void recordOutcome(ClientRequest request, RequestOutcome outcome) {
        metrics.recordOutcome(request, outcome);
        trace.record(clock.now(), request.command.id, RequestTrace.Step.COMPLETED, outcome.key());
        Timers.cancel(request.deadlineTimer);
    }

    /** Completes an open request with a response of the proxy's own; no effect on a request that is not open. */
    void respond(ClientRequest request, RequestOutcome outcome, Consumer<ResponseWriter> response) {
        if (!request.isOpen()) {
            return;
        }
        complete(request, RequestState.ANSWERED, outcome);
        response.accept(request.responseWriter);
        release(request);
    }

    /** Completes an open request as failed; no effect on a request that is not open. */
    void fail(ClientRequest request) {
        respond(request, RequestOutcome.FAILED, ResponseWriter::fail);
    }

    /**
     * Releases the resources of a completed request; no effect on a request that is not completed. Attempts that still
     * wait for a connection end as {@code NOT_SENT}, even if the settings forbid cancelling: nothing may be sent for a
     * completed request.
     */
    void release(ClientRequest request) {
        if (!request.isCompleted()) {
            return;
        }
        endUnsentAttempts.accept(request);
        requests.remove(clock.now(), request, settings.longestDeadlineMs());
        request.command.release();
    }
}

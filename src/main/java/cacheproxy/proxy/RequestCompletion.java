package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import java.util.function.Consumer;

/**
 * Completes requests: records the one outcome of each, checks it against the rules and releases what the request holds.
 * Event loop only.
 */
final class RequestCompletion {
    private final ProxyClock clock;
    private final RequestSettings settings;
    private final RequestTable requests;
    private final RequestMetrics metrics;
    private final RuleMonitor rules;
    private final Consumer<ClientRequest> endUnsentAttempts;

    /** {@code endUnsentAttempts}: ends those attempts of a completed request of which nothing has gone out. */
    RequestCompletion(
            ProxyClock clock,
            RequestSettings settings,
            RequestTable requests,
            RequestMetrics metrics,
            RuleMonitor rules,
            Consumer<ClientRequest> endUnsentAttempts) {
        this.clock = clock;
        this.settings = settings;
        this.requests = requests;
        this.metrics = metrics;
        this.rules = rules;
        this.endUnsentAttempts = endUnsentAttempts;
    }

    /** Takes a request to a final state and records its outcome; the caller writes the response and releases it. */
    void complete(ClientRequest request, RequestState state, RequestOutcome outcome) {
        boolean wasStreaming = request.isStreaming();
        if (!request.transitionTo(state)) {
            rules.recordViolation(
                    RuleViolation.ANSWERED_TWICE, request, message -> message.with("new_state", state.key()));
        }
        double lateMs = clock.now() - request.deadlineMs;
        if (state == RequestState.ANSWERED && !wasStreaming && lateMs > SafetyRules.FINAL_ANSWER_SLACK_MS) {
            rules.recordViolation(
                    RuleViolation.ANSWERED_LATE, request, message -> message.with("late_ms", Math.round(lateMs)));
        }
        recordOutcome(request, outcome);
    }

    /** Records the outcome of a request that is in its final state. */
    void recordOutcome(ClientRequest request, RequestOutcome outcome) {
        metrics.recordOutcome(request, outcome);
        Timers.cancel(request.deadlineTimer);
    }

    /** Completes an open request with a response that is not a server's; no effect on one that is not open. */
    void respond(ClientRequest request, RequestOutcome outcome, Consumer<ResponseWriter> response) {
        if (!request.isOpen()) {
            return;
        }
        complete(request, RequestState.ANSWERED, outcome);
        response.accept(request.responseWriter);
        release(request);
    }

    /** Completes an open request as failed. */
    void fail(ClientRequest request) {
        respond(request, RequestOutcome.FAILED, ResponseWriter::fail);
    }

    /**
     * Releases what a completed request holds; no effect on one that is not completed. Nothing is sent for it any more,
     * whatever the settings say of cancelling: attempts that still wait for a connection end as never sent.
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

package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.RequestTrace;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.RequestParameters;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.Request;

/**
 * Accepts requests and completes those that end without a server's response: invalid ones, and those whose deadline has
 * passed, whose client has disconnected, that the load balancer rejects, or that a drain ends. Event loop only.
 */
final class RequestLifecycle {
    /** How long after its deadline a request waits for the load balancer to complete it, in milliseconds. */
    private static final double COMPLETION_GRACE_MS = 10;
    /** The longest valid timeout: a day. */
    private static final double MAX_TIMEOUT_MS = 86_400_000;

    private static final double MICROS_PER_MILLI = 1000;
    private static final String DUPLICATE_ID = "id of another request";

    private final ProxyClock clock;
    private final Timers timers;
    private final EventLog log;
    private final RequestSettings settings;
    private final RequestTable requests;
    private final RequestMetrics metrics;
    private final RuleMonitor rules;
    private final RequestTrace trace;
    private final ProvenanceTracker provenance;
    private final SerialLoadBalancer loadBalancer;
    private final RequestCompletion completion;
    private final AttemptLifecycle attempts;
    /** Whether the deadline of a drain has passed, so that the process ends. */
    private boolean ending;

    RequestLifecycle(
            ProxyClock clock,
            Timers timers,
            EventLog log,
            RequestSettings settings,
            RequestTable requests,
            RequestMetrics metrics,
            RuleMonitor rules,
            RequestTrace trace,
            ProvenanceTracker provenance,
            SerialLoadBalancer loadBalancer,
            RequestCompletion completion,
            AttemptLifecycle attempts) {
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        this.settings = settings;
        this.requests = requests;
        this.metrics = metrics;
        this.rules = rules;
        this.trace = trace;
        this.provenance = provenance;
        this.loadBalancer = loadBalancer;
        this.completion = completion;
        this.attempts = attempts;
    }

    /** Accepts a request that was received completely, or rejects it as invalid or because the process ends. */
    void accept(ClientRequest request) {
        if (ending) {
            rejectAtEnd(request);
            return;
        }
        RequestCommand command = request.command;
        RequestParameters parameters = command.parameters;
        double now = clock.now();
        Integer classIndex = settings.classIndex(parameters.className());
        Integer tenantIndex = settings.tenantIndex(parameters.tenant());
        if (classIndex == null || tenantIndex == null || !isValidTimeout(parameters.timeoutMs())) {
            rejectInvalid(request, "unknown class, tenant or deadline");
            return;
        }
        if (requests.isIdInUse(now, command.id)) {
            rejectInvalid(request, DUPLICATE_ID);
            return;
        }
        request.deadlineMs = request.receivedMs + parameters.timeoutMs();
        request.acceptedMs = now;
        requests.add(request);
        trace.record(now, command.id, RequestTrace.Step.ACCEPTED, "");
        request.serviceClass = settings.routing().classes().get(classIndex);
        request.maxAttempts = settings.routing().maxAttempts();
        provenance.usedForDecision(now, ProvenanceTracker.Subject.ENDPOINT_LIST);
        // Set before the load balancer sets its timer for the same time, so that attempts without a response end as
        // timeouts.
        request.deadlineTimer = timers.after(request.deadlineMs - now, () -> deadlineExceeded(request));
        loadBalancer.requestAccepted(
                now,
                routingRequest(request, classIndex, tenantIndex),
                command.key,
                command.front,
                () -> completion.fail(request));
    }

    /** Whether a timeout is valid. It is sent to servers, so there is no default; NaN, for none, is invalid. */
    private static boolean isValidTimeout(double timeoutMs) {
        return timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS;
    }

    private static Request routingRequest(ClientRequest request, int classIndex, int tenantIndex) {
        RequestCommand command = request.command;
        RequestParameters parameters = command.parameters;
        return new Request(
                request.id,
                classIndex,
                tenantIndex,
                ConfiguredEndpoints.routingKey(command.key),
                request.deadlineMs,
                parameters.workMicros() / MICROS_PER_MILLI,
                parameters.valueBytes(),
                command.write,
                parameters.repeated());
    }

    private void rejectAtEnd(ClientRequest request) {
        request.transitionTo(RequestState.ANSWERED);
        metrics.recordNotAccepted(request, RequestOutcome.REJECTED);
        request.responseWriter.reject(0);
        completion.release(request);
    }

    private void rejectInvalid(ClientRequest request, String reason) {
        request.transitionTo(RequestState.ANSWERED);
        log(EventKind.REQUEST_INVALID, reason, request);
        metrics.recordNotAccepted(request, RequestOutcome.FAILED);
        request.responseWriter.rejectInvalid(reason);
        completion.release(request);
    }

    /** Rejects an open request, of which nothing has been sent, as another process has accepted its id. */
    void rejectDuplicate(ClientRequest request) {
        completion.complete(request, RequestState.ANSWERED, RequestOutcome.FAILED);
        log(EventKind.REQUEST_INVALID, DUPLICATE_ID, request);
        loadBalancer.clientDisconnected(request); // so that it requests no further actions for it
        request.responseWriter.rejectInvalid(DUPLICATE_ID);
        completion.release(request);
    }

    private void deadlineExceeded(ClientRequest request) {
        for (int i = 0; i < request.attempts.size() && !request.isStreaming(); i++) {
            attempts.expire(request.attempts.get(i));
        }
        request.deadlineTimer = timers.after(COMPLETION_GRACE_MS, () -> {
            if (request.isOpen()) {
                log(
                        EventKind.REQUEST_ABORTED,
                        "the load balancer did not complete the request by its deadline",
                        request);
                completion.fail(request);
            }
        });
    }

    /** A client's connection has ended; {@code closedByProxy}: this proxy closed it, and not gracefully. */
    void clientDisconnected(ClientRequest request, boolean closedByProxy) {
        if (request.isCompleted()) {
            return;
        }
        if (closedByProxy) {
            rules.recordViolation(RuleViolation.CLOSED_BEFORE_ANSWER, request);
        }
        completion.complete(request, RequestState.CLIENT_DISCONNECTED, RequestOutcome.CLIENT_DISCONNECTED);
        loadBalancer.clientDisconnected(request);
        attempts.cancelStreams(request);
        completion.release(request);
    }

    /** Fails a request whose value began to arrive, but could not be written to its client in time. */
    void valueTimedOut(ClientRequest request) {
        if (!request.isStreaming()) {
            return;
        }
        completion.complete(request, RequestState.ANSWERED, RequestOutcome.FAILED);
        loadBalancer.clientDisconnected(request); // so that it requests no further actions for it
        attempts.cancelStreams(request);
        request.responseWriter.abort();
        completion.release(request);
    }

    /** Rejects an open request if a repeat is harmless; otherwise fails it, and records a violation of the rules. */
    void reject(ClientRequest request, double retryAfterMs) {
        if (request.isOpen() && !isRejectable(request)) {
            rules.recordViolation(RuleViolation.REJECTED_THOUGH_MAYBE_EXECUTED, request);
            completion.fail(request);
            return;
        }
        double advisedMs = settings.routing().retryAfterSupported() ? retryAfterMs : 0;
        completion.respond(request, RequestOutcome.REJECTED, writer -> writer.reject(advisedMs));
    }

    private static boolean isRejectable(ClientRequest request) {
        return SafetyRules.mayReject(request.serviceClass, request.attemptsExcept(null))
                .allowed();
    }

    /**
     * Completes all open requests now, because the deadline of a drain has passed; those that are still received are
     * rejected.
     */
    void completeAll() {
        ending = true;
        requests.openRequests().forEach(this::completeForDrain);
    }

    private void completeForDrain(ClientRequest request) {
        boolean wasStreaming = request.isStreaming();
        // Before its attempts end, so that the load balancer doesn't respond.
        request.transitionTo(RequestState.ANSWERED);
        boolean rejected = !wasStreaming && expireAndCheckRejectable(request);
        completion.recordOutcome(request, rejected ? RequestOutcome.REJECTED : RequestOutcome.FAILED);
        log(EventKind.REQUEST_ABORTED, "the deadline of the drain has passed", request);
        loadBalancer.clientDisconnected(request); // so that it requests no further actions for it
        if (wasStreaming) {
            request.responseWriter.abort();
        } else if (rejected) {
            request.responseWriter.reject(0);
        } else {
            request.responseWriter.fail();
        }
        completion.release(request);
    }

    private boolean expireAndCheckRejectable(ClientRequest request) {
        attempts.expireAll(request);
        return isRejectable(request);
    }

    private void log(EventKind kind, String text, ClientRequest request) {
        log.log(kind, LogMessage.of(text).with("request", request.command.id));
    }
}

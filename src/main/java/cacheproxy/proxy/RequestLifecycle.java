package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.RequestTerms;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.Request;

/**
 * Accepts requests and completes those that no server's response does: invalid ones, those whose deadline has passed,
 * whose client has disconnected, which the load balancer rejects or fails, or which a drain ends. Event loop only.
 */
final class RequestLifecycle {
    /** How long after its deadline, in milliseconds, a request waits for the load balancer to complete it. */
    private static final double COMPLETION_GRACE_MS = 10;
    /** A day; a longer timeout is no deadline. */
    private static final double MAX_TIMEOUT_MS = 86_400_000;

    private static final double MICROS_PER_MILLI = 1000;

    private final ProxyClock clock;
    private final Timers timers;
    private final EventLog log;
    private final RequestSettings settings;
    private final RequestTable requests;
    private final RequestMetrics metrics;
    private final RuleMonitor rules;
    private final ProvenanceTracker provenance;
    private final SerialLoadBalancer loadBalancer;
    private final RequestCompletion completion;
    private final AttemptLifecycle attempts;

    RequestLifecycle(
            ProxyClock clock,
            Timers timers,
            EventLog log,
            RequestSettings settings,
            RequestTable requests,
            RequestMetrics metrics,
            RuleMonitor rules,
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
        this.provenance = provenance;
        this.loadBalancer = loadBalancer;
        this.completion = completion;
        this.attempts = attempts;
    }

    /** Accepts a request that has been received completely, or rejects it as invalid. */
    void accept(ClientRequest request) {
        RequestCommand command = request.command;
        RequestTerms terms = command.terms;
        double now = clock.now();
        Integer classIndex = settings.classIndex(terms.className());
        Integer tenantIndex = settings.tenantIndex(terms.tenant());
        if (classIndex == null || tenantIndex == null || !isValidTimeout(terms.timeoutMs())) {
            rejectInvalid(request, "unknown class, tenant or deadline");
            return;
        }
        if (requests.isIdInUse(now, command.id)) {
            rejectInvalid(request, "id of another request");
            return;
        }
        requests.add(request);
        request.serviceClass = settings.routing().classes().get(classIndex);
        request.maxAttempts = settings.routing().maxAttempts();
        request.deadlineMs = request.receivedMs + terms.timeoutMs();
        provenance.usedForDecision(now, ProvenanceTracker.Subject.ENDPOINT_LIST);
        // Before the load balancer's own timer for the same time, so that a silent server's attempt ends as a timeout.
        request.deadlineTimer = timers.after(request.deadlineMs - now, () -> deadlineExceeded(request));
        loadBalancer.requestAccepted(
                now,
                routingRequest(request, classIndex, tenantIndex),
                command.key,
                command.front,
                () -> completion.fail(request));
    }

    /** Servers are told of the timeout, so there is no default; NaN is none either. */
    private static boolean isValidTimeout(double timeoutMs) {
        return timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS;
    }

    private static Request routingRequest(ClientRequest request, int classIndex, int tenantIndex) {
        RequestCommand command = request.command;
        RequestTerms terms = command.terms;
        return new Request(
                request.id,
                classIndex,
                tenantIndex,
                ConfiguredEndpoints.routingKey(command.key),
                request.deadlineMs,
                terms.workMicros() / MICROS_PER_MILLI,
                terms.valueBytes(),
                command.write,
                terms.repeated());
    }

    private void rejectInvalid(ClientRequest request, String reason) {
        request.transitionTo(RequestState.ANSWERED);
        log(EventKind.REQUEST_INVALID, reason, request);
        metrics.recordInvalid(request);
        request.responseWriter.rejectInvalid(reason);
        completion.release(request);
    }

    private void deadlineExceeded(ClientRequest request) {
        for (int i = 0; i < request.attempts.size() && !request.isStreaming(); i++) {
            attempts.expire(request.attempts.get(i));
        }
        request.deadlineTimer = timers.after(COMPLETION_GRACE_MS, () -> {
            if (request.isOpen()) {
                log(EventKind.REQUEST_ABORTED, "the load balancer did not complete it by its deadline", request);
                completion.fail(request);
            }
        });
    }

    /** A client's connection has ended; {@code closedHere}: by this side, and not in order. */
    void clientDisconnected(ClientRequest request, boolean closedHere) {
        if (request.isCompleted()) {
            return;
        }
        if (closedHere) {
            rules.recordViolation(RuleViolation.CLOSED_BEFORE_ANSWER, request);
        }
        completion.complete(request, RequestState.CLIENT_DISCONNECTED, RequestOutcome.CLIENT_DISCONNECTED);
        loadBalancer.clientDisconnected(request);
        attempts.cancelStreams(request);
        completion.release(request);
    }

    /** Rejects an open request, where a repeat does no harm; else fails it, which is counted as a violation. */
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

    /** Completes every open request now, because a drain's deadline has passed. */
    void completeAll() {
        requests.openRequests().forEach(this::completeForDrain);
    }

    private void completeForDrain(ClientRequest request) {
        boolean wasStreaming = request.isStreaming();
        request.transitionTo(RequestState.ANSWERED); // before its attempts end, or the load balancer would respond
        boolean rejected = !wasStreaming && expireAndCheckRejectable(request);
        completion.recordOutcome(request, rejected ? RequestOutcome.REJECTED : RequestOutcome.FAILED);
        log(EventKind.REQUEST_ABORTED, "the drain's deadline has passed", request);
        loadBalancer.clientDisconnected(request); // it gives no more orders for it, as after a disconnect
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

    private void log(EventKind kind, String phrase, ClientRequest request) {
        log.log(kind, LogMessage.of(phrase).with("request", request.command.id));
    }
}

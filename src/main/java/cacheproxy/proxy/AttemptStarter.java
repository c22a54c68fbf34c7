package cacheproxy.proxy;

import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.admission.Verdict;
import cacheproxy.metrics.Metric;
import cacheproxy.metrics.RequestTrace;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.proxy.upstream.UpstreamServer;
import cacheproxy.proxy.upstream.UpstreamServers;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.EndpointLocation;

/**
 * Starts the attempts and health checks that the load balancer requests, if the safety rules permit them at that
 * moment. Event loop only.
 */
final class AttemptStarter {
    private static final double HEALTH_CHECK_TIMEOUT_MS = 250;
    /** The location of a server that is not in the endpoint list. */
    private static final EndpointLocation UNKNOWN_LOCATION = new EndpointLocation(-1, -1);

    private final InputTurns inputTurns;
    private final ProxyClock clock;
    private final Timers timers;
    private final RequestSettings settings;
    private final UpstreamServers servers;
    private final Counters counters;
    private final RuleMonitor rules;
    private final RequestTrace trace;
    private final SerialLoadBalancer loadBalancer;
    private final AttemptLifecycle attempts;
    private final AttemptOperations operations;

    AttemptStarter(
            InputTurns inputTurns,
            ProxyClock clock,
            Timers timers,
            RequestSettings settings,
            UpstreamServers servers,
            Counters counters,
            RuleMonitor rules,
            RequestTrace trace,
            SerialLoadBalancer loadBalancer,
            AttemptLifecycle attempts,
            ResponseStreaming streaming) {
        this.inputTurns = inputTurns;
        this.clock = clock;
        this.timers = timers;
        this.settings = settings;
        this.servers = servers;
        this.counters = counters;
        this.rules = rules;
        this.trace = trace;
        this.loadBalancer = loadBalancer;
        this.attempts = attempts;
        operations = new AttemptOperations(this, attempts, streaming);
    }

    /**
     * Starts an attempt of a request that is not completed. It is sent once the input that has been polled is
     * processed, which may hold its client's disconnect, a response, or news of the server.
     *
     * @param timeoutMs its timeout in milliseconds, unless the request's deadline is earlier; 0 for the deadline alone
     */
    void start(ClientRequest request, int server, double timeoutMs) {
        double now = clock.now();
        double remainingMs = request.deadlineMs - now;
        double waitMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        UpstreamServer upstream = servers.get(server);
        EndpointLocation location = upstream == null ? UNKNOWN_LOCATION : upstream.location;
        RequestAttempt attempt =
                new RequestAttempt(operations, request, request.attempts.size(), server, location, now, now + waitMs);
        countAttempt(request, upstream);
        trace.record(attempt.traceEntry(now, RequestTrace.Step.ATTEMPT_ORDERED, ""));
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (waitMs > 0 && waitMs < remainingMs) {
            attempt.timer = timers.after(waitMs, () -> attempts.expire(attempt));
        }
        inputTurns.afterInput(() -> send(attempt));
    }

    private void send(RequestAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        if (!mayBegin(attempt)) {
            attempts.endSerially(attempt, AttemptOutcome.NOT_SENT);
        } else if (!servers.get(attempt.server).pool.send(attempt)) {
            attempts.endSerially(attempt, AttemptOutcome.CONNECT_FAILED);
        }
    }

    /**
     * Whether the safety rules permit an attempt to begin now. Must be checked right before its bytes are written, so
     * again if it had to wait since the last check.
     */
    boolean mayBegin(RequestAttempt attempt) {
        ClientRequest request = attempt.request;
        UpstreamServer upstream = servers.get(attempt.server);
        boolean serverReady = upstream != null && upstream.ready;
        if (attempt.isHealthCheck()) {
            return serverReady;
        }
        if (request.isOpen()) {
            request.responseWriter.detectDisconnect();
        }
        double now = clock.now();
        Verdict verdict = SafetyRules.mayBegin(
                now,
                new SafetyRules.AttemptStart(
                        request.state(),
                        request.serviceClass,
                        Math.min(attempt.expiresMs(), request.deadlineMs) - now,
                        serverReady,
                        attempt.location,
                        attempt.index,
                        Math.min(request.maxAttempts, settings.routing().maxAttempts()),
                        settings.routing().hedgingAllowed(),
                        request.attemptsExcept(attempt)));
        if (!verdict.allowed()) {
            rules.recordForbidden(attempt, verdict);
            trace.record(attempt.traceEntry(now, RequestTrace.Step.ATTEMPT_FORBIDDEN, verdict.key()));
        }
        return verdict.allowed();
    }

    /** Whether a server that is told this timeout now, in milliseconds, is given more than the client has left. */
    boolean isExcessive(RequestAttempt attempt, long timeoutMs) {
        return !attempt.isHealthCheck()
                && SafetyRules.isExcessiveTimeout((double) timeoutMs, attempt.request.deadlineMs - clock.now());
    }

    /** Checks the timeout in milliseconds that is about to be sent to a server against the time left to the client. */
    void checkRemainingTime(RequestAttempt attempt, long remainingMs) {
        if (attempt.isHealthCheck()) {
            return;
        }
        ClientRequest request = attempt.request;
        double now = clock.now();
        trace.record(attempt.traceEntry(now, RequestTrace.Step.ATTEMPT_SENT, ""));
        if (isExcessive(attempt, remainingMs)) {
            long leftMs = Math.round(request.deadlineMs - now);
            rules.recordViolation(
                    RuleViolation.EXCESSIVE_TIMEOUT_SENT,
                    request,
                    message -> message.with("sent_ms", remainingMs).with("left_ms", leftMs));
        }
    }

    private void countAttempt(ClientRequest request, UpstreamServer upstream) {
        counters.increment(Metric.ATTEMPTS);
        if (!request.attempts.isEmpty()) {
            counters.increment(request.attemptsInFlight > 0 ? Metric.HEDGES : Metric.RETRIES);
        }
        if (upstream == null) {
            return;
        }
        if (upstream.origin && !request.command.write) {
            counters.increment(Metric.ORIGIN_FETCHES);
        }
        if (!upstream.origin && loadBalancer.isAvoided(upstream.id)) {
            counters.increment(Metric.PROBES);
        }
    }

    /** Starts a health check of a server and delivers its result to the load balancer. */
    void startHealthCheck(int server) {
        UpstreamServer upstream = servers.get(server);
        counters.increment(Metric.PROBES);
        double now = clock.now();
        RequestAttempt check =
                new RequestAttempt(operations, null, 0, server, UNKNOWN_LOCATION, now, now + HEALTH_CHECK_TIMEOUT_MS);
        if (upstream == null || !upstream.ready || !upstream.pool.send(check)) {
            attempts.endSerially(check, AttemptOutcome.CONNECT_FAILED);
        } else {
            check.timer = timers.after(HEALTH_CHECK_TIMEOUT_MS, () -> attempts.expire(check));
        }
    }
}

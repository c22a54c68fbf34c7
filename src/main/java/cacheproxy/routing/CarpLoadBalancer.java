package cacheproxy.routing;

import cacheproxy.gossip.PeerMessage;
import cacheproxy.routing.RequestTimers.Kind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The load balancer of one proxy instance. Passes each event to the class that owns the decision and issues the
 * resulting {@link RoutingActions}. Requests are routed by CARP v1.0 (draft-vinod-carp-v1-03).
 *
 * <pre>
 * endpoint selection         EndpointSelector, using EndpointTable, CarpRanking and CarpHash
 * ejected endpoints          OutlierDetection, with the state in EndpointHealth
 * unreachable zones          ZoneCircuitBreaker
 * connection limits          ConnectionCapacity
 * slow start                 SlowStart
 * hot keys                   HotKeys
 * retries                    RetryPolicy
 * hedged requests            HedgingPolicy
 * overload, coalescing       OverloadProtection, using AdaptiveThrottle, LoadShedding, FairShares and FetchCoalescer
 * final answers              RequestTermination
 * attempt outcomes           OutcomeRecorder, LatencyEstimates
 * endpoint list polling      EndpointListWatch
 * state transfer             LearnedStateTransfer
 * </pre>
 *
 * <p>Not thread-safe: events must be delivered one at a time. Deterministic: the same settings, seed and events produce
 * the same actions.
 */
public final class CarpLoadBalancer implements LoadBalancer {
    /** The name of the only pool, which holds all endpoints. */
    private static final String DEFAULT_POOL = "";

    private final EndpointTable endpoints = new EndpointTable();
    private final ZoneCircuitBreaker zones = new ZoneCircuitBreaker();
    private final HotKeys hotKeys = new HotKeys();
    private final AdaptiveThrottle originThrottle = new AdaptiveThrottle();
    private final AdaptiveThrottle endpointThrottle = new AdaptiveThrottle();
    private final FetchCoalescer fetches = new FetchCoalescer();
    private final RequestTimers timers = new RequestTimers();
    private final Map<Integer, PendingRequest> pending = new HashMap<>();
    private final LatencyEstimates latency;
    private final EndpointListWatch listWatch;
    private final LoadShedding shedding;
    private final OutlierDetection outliers;
    private final ConnectionCapacity capacity;
    private final SlowStart slowStart;
    private final EndpointSelector selector;
    private final RetryPolicy retries;
    private final HedgingPolicy hedging;
    private final OverloadProtection overloadProtection;
    private final OutcomeRecorder outcomes;
    private final RequestTermination termination;
    private final LearnedStateTransfer stateTransfer;
    private RoutingSettings settings;

    /**
     * Creates a load balancer without endpoints or learned state.
     *
     * @param seed the seed of all random choices; the instance's index is mixed in
     * @throws IllegalArgumentException if the settings have no service class or allow no attempt
     */
    public CarpLoadBalancer(RoutingSettings initial, long seed) {
        check(initial);
        SplittableRandom random = new SplittableRandom(initial.instanceSeed(seed));
        settings = initial;
        latency = new LatencyEstimates(shortestObjectiveMs(initial));
        listWatch = new EndpointListWatch(random);
        shedding = new LoadShedding(random);
        outliers = new OutlierDetection(this::settings, zones);
        capacity = new ConnectionCapacity(this::settings, random);
        slowStart = new SlowStart(this::settings, random, hotKeys, latency, endpointThrottle);
        selector = new EndpointSelector(this::settings, random, endpoints, zones, outliers, slowStart);
        retries = new RetryPolicy(this::settings, random, latency);
        hedging = new HedgingPolicy(this::settings, latency);
        overloadProtection =
                new OverloadProtection(this::settings, latency, shedding, endpointThrottle, originThrottle, fetches);
        outcomes = new OutcomeRecorder(
                hedging, overloadProtection, endpointThrottle, originThrottle, latency, zones, outliers, capacity);
        termination = new RequestTermination(this::settings, pending, retries, fetches);
        stateTransfer = new LearnedStateTransfer(endpoints, latency, originThrottle, endpointThrottle, hotKeys);
        listWatch.onSettings(initial);
        shedding.onSettings(null, initial);
        rank(0);
    }

    private static void check(RoutingSettings settings) {
        if (settings.classes().isEmpty() || settings.maxAttempts() < 1) {
            throw new IllegalArgumentException(
                    "settings have " + settings.classes().size() + " service classes and max attempts "
                            + settings.maxAttempts() + "; both must be at least 1");
        }
    }

    private static double shortestObjectiveMs(RoutingSettings settings) {
        return settings.classes().stream()
                .mapToDouble(ServiceClass::latencyObjectiveMs)
                .min()
                .orElseThrow();
    }

    private RoutingSettings settings() {
        return settings;
    }

    // ---- settings and learned state

    @Override
    public void onSettings(double nowMs, RoutingSettings next, RoutingActions out) {
        check(next);
        listWatch.onSettings(next);
        shedding.onSettings(settings, next);
        settings = next;
        rank(nowMs);
    }

    private void rank(double nowMs) {
        endpoints.rank(settings);
        slowStart.onRanked(nowMs, endpoints.totalWeight());
    }

    @Override
    public boolean isAvoided(double nowMs, int endpointId) {
        EndpointEntry entry = endpoints.get(endpointId);
        return entry != null
                && (entry.endpoint().state() != EndpointState.READY
                        || !entry.health().isInService());
    }

    @Override
    public Map<String, LearnedState> learnedState(double nowMs) {
        return Map.of(DEFAULT_POOL, stateTransfer.capture(nowMs));
    }

    @Override
    public void restore(double nowMs, Map<String, LearnedState> states) {
        LearnedState defaultPoolState = states.get(DEFAULT_POOL);
        if (defaultPoolState != null) {
            stateTransfer.restore(nowMs, defaultPoolState);
        }
    }

    // ---- endpoints and zones

    @Override
    public void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> update, RoutingActions out) {
        if (kind == EndpointUpdateKind.FAILED) {
            timers.set(listWatch.onFailure(nowMs), Kind.LIST_POLL, out);
            return;
        }
        if (kind == EndpointUpdateKind.CACHED && settings.pollsDiscovery()) {
            timers.set(listWatch.firstPollDelayMs(settings), Kind.LIST_POLL, out);
        } else if (kind != EndpointUpdateKind.PROVISIONAL) {
            listWatch.onEntries();
        }
        endpoints.update(kind, update, settings);
        slowStart.onRanked(nowMs, endpoints.totalWeight());
    }

    @Override
    public void onZoneDirectives(double nowMs, List<ZoneDirective> directives, RoutingActions out) {
        for (ZoneDirective directive : directives) {
            zones.apply(directive);
            if (directive.resetHealth()) {
                endpoints.all().stream()
                        .filter(entry -> entry.zone() == directive.zone())
                        .forEach(entry -> entry.health().reset());
            }
        }
    }

    @Override
    public void onPeerMessage(double nowMs, int peerIndex, byte[] message, RoutingActions out) {
        EndpointEntry unresponsive = endpoints.get(PeerMessage.readEndpointUnresponsive(message));
        if (unresponsive != null && !endpoints.isOrigin(unresponsive)) {
            outliers.onPeerReport(nowMs, unresponsive);
        }
        EndpointEntry atLimit = endpoints.get(PeerMessage.readEndpointFull(message));
        if (atLimit != null && !endpoints.isOrigin(atLimit)) {
            capacity.onPeerReport(nowMs, atLimit);
        }
    }

    @Override
    public void onHealthCheckResult(
            double nowMs,
            int endpointId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] report,
            RoutingActions out) {
        EndpointEntry entry = endpoints.get(endpointId);
        if (entry != null) {
            outliers.onHealthCheckResult(nowMs, entry, outcome);
        }
    }

    // ---- requests

    @Override
    public void onRequest(double nowMs, Request request, RoutingActions out) {
        check(request);
        latency.recordCostHint(request.costMs());
        shedding.recordRequest(nowMs, request.tenant());
        outliers.onRequest();
        PendingRequest pendingRequest = new PendingRequest(request, settings, shedding.shares(), nowMs);
        pending.put(request.id(), pendingRequest);
        timers.set(Math.max(0, request.deadlineMs() - nowMs), Kind.DEADLINE, pendingRequest, out);
        if (settings.cacheAside() && request.write()) {
            pendingRequest.targetOrigin();
        } else if (request.key() != 0) {
            slowStart.recordRead(nowMs, endpoints.rankedCount());
            int count = hotKeys.record(nowMs, request.key());
            pendingRequest.setHotness(hotKeys.replicas(count, endpoints.rankedCount()), count);
        }
        advance(nowMs, pendingRequest, out);
    }

    private void check(Request request) {
        int classes = settings.classes().size();
        if (request.serviceClass() < 0 || request.serviceClass() >= classes) {
            throw new IllegalArgumentException("service class " + request.serviceClass() + " is not in the settings");
        }
        int tenants =
                Math.max(1, settings.tenants().size()); // without configured tenants all requests belong to tenant 0
        if (request.tenant() < 0 || request.tenant() >= tenants) {
            throw new IllegalArgumentException("tenant " + request.tenant() + " is not in the settings");
        }
    }

    /** Sends the next attempt of a request, leaves it waiting for another request's fetch, or gives it up. */
    private void advance(double nowMs, PendingRequest request, RoutingActions out) {
        if (!request.resume()) {
            return;
        }
        EndpointEntry target = retries.isAttemptUseful(nowMs, request) ? selector.select(nowMs, request, out) : null;
        if (target == null || !retries.isSafe(nowMs, request, target)) {
            termination.giveUp(request, out);
            return;
        }
        OverloadProtection.Decision decision = endpoints.isOrigin(target)
                ? overloadProtection.admitToOrigin(nowMs, request)
                : overloadProtection.admitToEndpoint(nowMs, request);
        switch (decision) {
            case SEND -> send(nowMs, request, target, out);
            case GIVE_UP -> termination.giveUp(request, out);
            case WAIT -> {}
        }
    }

    private void send(double nowMs, PendingRequest request, EndpointEntry target, RoutingActions out) {
        request.addAttempt(nowMs, target);
        boolean atOrigin = endpoints.isOrigin(target);
        boolean timesOutAtObjective = !atOrigin && request.hasNoLateValue();
        out.send(request.id(), target.id(), timesOutAtObjective ? Math.max(1, request.objectiveEndMs() - nowMs) : 0);
        if (!atOrigin && hedging.applies(request)) {
            timers.set(hedging.delayMs(nowMs, request), Kind.HEDGE, request, out);
        }
    }

    @Override
    public void onClientDisconnected(double nowMs, int requestId, RoutingActions out) {
        PendingRequest abandoned = pending.get(requestId);
        if (abandoned != null && !abandoned.isDone()) {
            termination.abandon(abandoned, out);
        }
    }

    // ---- attempts

    @Override
    public void onFirstByte(double nowMs, int requestId, int attempt, int endpointId, RoutingActions out) {
        PendingRequest streaming = pending.get(requestId);
        if (streaming != null) {
            streaming.startStreaming();
        }
    }

    @Override
    public void onAttemptEnd(double nowMs, AttemptEnd end, RoutingActions out) {
        PendingRequest request = pending.get(end.requestId());
        if (request == null || !request.isInFlight(end.attemptIndex())) {
            return;
        }
        EndpointEntry endpoint = request.endpointOf(end.attemptIndex());
        boolean atOrigin = endpoints.isOrigin(endpoint);
        request.endAttempt(end.attemptIndex());
        outcomes.record(nowMs, request, endpoint, atOrigin, end, out);
        if (end.outcome().mayHaveRun()) {
            request.recordPossibleExecution(end.attemptIndex());
        }
        boolean wasDone = request.isDone();
        if (end.requestCompleted() || wasDone) {
            termination.finish(request);
        }
        if (atOrigin && fetches.isLeader(request)) {
            endFetch(nowMs, request, end.outcome() == AttemptOutcome.OK, out);
        }
        if (!wasDone && end.requestCompleted()) {
            termination.cancelAttempts(request, out);
        } else if (!request.isDone()) {
            retryOrGiveUp(nowMs, request, endpoint, end, out);
        }
    }

    /**
     * Resumes the requests that waited for a fetch. After a successful fetch they read the object from the endpoint
     * that missed it, if two attempts are left. Otherwise they go to the origin, where the first one admitted leads a
     * new fetch.
     */
    private void endFetch(double nowMs, PendingRequest leader, boolean stored, RoutingActions out) {
        for (PendingRequest waiter : fetches.complete(leader)) {
            if (!waiter.isWaiting()) {
                continue;
            }
            if (stored
                    && retries.hasAttemptsLeft(
                            waiter, 2)) { // the second is for the origin, in case the object was evicted
                waiter.targetEndpoints();
            } else {
                waiter.targetOrigin();
            }
            advance(nowMs, waiter, out);
        }
    }

    private void retryOrGiveUp(
            double nowMs, PendingRequest request, EndpointEntry endpoint, AttemptEnd end, RoutingActions out) {
        if (end.outcome() == AttemptOutcome.MISS) {
            request.recordMiss(endpoint);
            if (retries.isFetchInFlight(request, end)) {
                request.targetEndpoints();
            } else {
                request.targetOrigin();
            }
        }
        RetryPolicy.NextStep next = retries.next(request, end, endpoints.isOrigin(endpoint));
        if (next instanceof RetryPolicy.RetryAfter retry) {
            request.startWaiting();
            timers.set(retry.delayMs(), Kind.RETRY, request, out);
        } else if (next instanceof RetryPolicy.GiveUp) {
            termination.giveUp(request, out);
        } else if (next instanceof RetryPolicy.RetryNow) {
            advance(nowMs, request, out);
        }
    }

    // ---- timers

    @Override
    public void onTimer(double nowMs, int token, RoutingActions out) {
        RequestTimers.Due due = timers.due(token);
        PendingRequest request = due.request();
        if (due.kind() == Kind.LIST_POLL) {
            if (listWatch.subscribe(nowMs)) {
                out.setWatch(true);
            }
        } else if (request != null) {
            onRequestTimer(nowMs, due.kind(), request, out);
        }
    }

    private void onRequestTimer(double nowMs, Kind kind, PendingRequest request, RoutingActions out) {
        if (kind == Kind.DEADLINE && request.isUnanswered()) {
            termination.answer(request, out);
            termination.abandon(request, out);
        } else if (kind == Kind.HEDGE && request.isUnanswered()) {
            onOverdue(nowMs, request, out);
        } else if (kind == Kind.RETRY && request.isWaiting()) {
            advance(nowMs, request, out);
        }
    }

    /** The latest attempt of a request has exceeded its hedging delay. */
    private void onOverdue(double nowMs, PendingRequest request, RoutingActions out) {
        int attempt = request.attemptCount() - 1;
        EndpointEntry endpoint = request.endpointOf(attempt);
        if (!request.isInFlight(attempt) || endpoints.isOrigin(endpoint)) {
            return;
        }
        out.reportSignal(endpoint.id(), EndpointSignal.UNRESPONSIVE);
        boolean hedgingAllowed = settings.hedgingAllowed();
        outliers.onOverdue(nowMs, endpoint, hedgingAllowed);
        if (!hedging.tryAcquire(nowMs, request)) {
            return;
        }
        request.markHedged();
        if (hedgingAllowed) {
            advance(nowMs, request, out);
        } else {
            out.cancel(request.id(), attempt);
        }
    }
}

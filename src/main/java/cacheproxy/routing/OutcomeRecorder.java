package cacheproxy.routing;

/**
 * What the end of an attempt tells: of the endpoint's health, of the load on endpoints and origin, of the usual
 * latencies, and for those who judge zones and nodes by it. Gives the outcome to each decision that rests on it.
 */
final class OutcomeRecorder {
    private final HedgingPolicy hedging;
    private final OverloadProtection admission;
    private final AdaptiveThrottle endpointThrottle;
    private final AdaptiveThrottle originThrottle;
    private final LatencyEstimates latency;
    private final ZoneCircuitBreaker zones;
    private final OutlierDetection outliers;
    private final ConnectionCapacity capacity;

    OutcomeRecorder(
            HedgingPolicy hedging,
            OverloadProtection admission,
            AdaptiveThrottle endpointThrottle,
            AdaptiveThrottle originThrottle,
            LatencyEstimates latency,
            ZoneCircuitBreaker zones,
            OutlierDetection outliers,
            ConnectionCapacity capacity) {
        this.hedging = hedging;
        this.admission = admission;
        this.endpointThrottle = endpointThrottle;
        this.originThrottle = originThrottle;
        this.latency = latency;
        this.zones = zones;
        this.outliers = outliers;
        this.capacity = capacity;
    }

    /**
     * The end of an attempt.
     *
     * @param nowMs the time of the event, in milliseconds
     * @param endpoint where it was sent
     * @param atOrigin whether that is the origin
     */
    void record(
            double nowMs,
            PendingRequest request,
            EndpointEntry endpoint,
            boolean atOrigin,
            AttemptEnd end,
            RoutingActions out) {
        if (request.isHedged() && end.attemptIndex() > 0 && end.outcome() == AttemptOutcome.OK) {
            hedging.recordSuccess();
        }
        if (atOrigin) {
            admission.recordOriginOutcome(nowMs, end.outcome());
        }
        switch (end.outcome()) {
            case OK, MISS, REJECTED -> recordAnswer(nowMs, request, endpoint, atOrigin, end, out);
            case CONNECTION_LIMIT -> {
                endpoint.health().probeEnded();
                capacity.onConnectionLimit(nowMs, endpoint, out);
            }
            case CONNECT_FAILED, RESET, TIMEOUT -> {
                if (!atOrigin) {
                    recordFailure(nowMs, endpoint, end.outcome(), out);
                }
            }
            case ERROR, CANCELLED, NOT_SENT -> endpoint.health().probeEnded();
        }
    }

    private void recordAnswer(
            double nowMs,
            PendingRequest request,
            EndpointEntry endpoint,
            boolean atOrigin,
            AttemptEnd end,
            RoutingActions out) {
        endpoint.health().recordAnswer(nowMs);
        if (atOrigin) {
            reportOrigin(nowMs, request, endpoint, end, out);
        } else {
            zones.recordResponse(endpoint.zone());
            boolean missed = end.outcome() == AttemptOutcome.MISS;
            out.reportSignal(endpoint.id(), missed ? EndpointSignal.CACHE_MISS : EndpointSignal.RESPONDED);
            if (end.outcome() == AttemptOutcome.REJECTED && end.attemptIndex() > 0) {
                endpointThrottle.recordRequest(nowMs);
            }
        }
        // Under overload slowness is nobody's own fault. Asked of the origin too, as the throttle decays when asked.
        boolean inTime =
                end.elapsedMs() <= request.serviceClass().latencyObjectiveMs() || endpointThrottle.isOverloaded(nowMs);
        if (atOrigin || inTime) {
            endpoint.health().clearFailures();
        }
        endpoint.health().probeEnded();
        if (end.outcome() == AttemptOutcome.OK) {
            if (atOrigin) {
                recordFetched(nowMs, request, end);
            } else {
                recordServed(nowMs, request, end);
            }
        }
    }

    private static void reportOrigin(
            double nowMs, PendingRequest request, EndpointEntry origin, AttemptEnd end, RoutingActions out) {
        boolean inTime = end.outcome() == AttemptOutcome.OK && nowMs <= request.objectiveEndMs();
        out.reportSignal(origin.id(), inTime ? EndpointSignal.RESPONDED : EndpointSignal.UNRESPONSIVE);
    }

    /** A cache endpoint has served the request. */
    private void recordServed(double nowMs, PendingRequest request, AttemptEnd end) {
        endpointThrottle.recordRequest(nowMs);
        double objectiveMs = request.serviceClass().latencyObjectiveMs();
        if (end.elapsedMs() <= objectiveMs - latency.originFetchMs()) { // a miss would have been answered in time too
            endpointThrottle.recordCompletedInTime(nowMs);
        }
        latency.recordEndpointAnswer(end.elapsedMs(), latency.relativeWork(request.request()));
        hedging.recordAnswer();
    }

    /** The origin has served the request. */
    private void recordFetched(double nowMs, PendingRequest request, AttemptEnd end) {
        if (nowMs <= request.objectiveEndMs()) {
            originThrottle.recordCompletedInTime(nowMs);
        }
        latency.recordOriginAnswer(end.elapsedMs());
    }

    /** A cache endpoint has not answered, for this of the three causes. */
    private void recordFailure(double nowMs, EndpointEntry endpoint, AttemptOutcome cause, RoutingActions out) {
        boolean timedOut = cause == AttemptOutcome.TIMEOUT;
        int expectedFailures = endpointThrottle.isOverloaded(nowMs) ? 1 : 0;
        // A timeout counts as load only if the endpoint was not failing already: one that is down says nothing of load.
        if (timedOut && endpoint.health().consecutiveFailures() <= expectedFailures) {
            endpointThrottle.recordRequest(nowMs);
        }
        if (!timedOut) { // a timeout was reported when it was overdue
            out.reportSignal(endpoint.id(), EndpointSignal.UNRESPONSIVE);
        }
        if (cause == AttemptOutcome.RESET) {
            outliers.onReset(nowMs, endpoint);
        } else {
            outliers.onNoResponse(nowMs, endpoint);
        }
    }
}

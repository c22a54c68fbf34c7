package cacheproxy.routing;

/**
 * Records the outcome of each attempt in the endpoint's health, the load on endpoints and origin, and the latency
 * estimates, and reports it as an {@link EndpointSignal} to the detection of unhealthy zones and nodes.
 */
final class OutcomeRecorder {
    private final HedgingPolicy hedging;
    private final OverloadProtection overloadProtection;
    private final AdaptiveThrottle endpointThrottle;
    private final AdaptiveThrottle originThrottle;
    private final LatencyEstimates latency;
    private final ZoneCircuitBreaker zones;
    private final OutlierDetection outliers;
    private final ConnectionCapacity capacity;

    OutcomeRecorder(
            HedgingPolicy hedging,
            OverloadProtection overloadProtection,
            AdaptiveThrottle endpointThrottle,
            AdaptiveThrottle originThrottle,
            LatencyEstimates latency,
            ZoneCircuitBreaker zones,
            OutlierDetection outliers,
            ConnectionCapacity capacity) {
        this.hedging = hedging;
        this.overloadProtection = overloadProtection;
        this.endpointThrottle = endpointThrottle;
        this.originThrottle = originThrottle;
        this.latency = latency;
        this.zones = zones;
        this.outliers = outliers;
        this.capacity = capacity;
    }

    /**
     * Records the end of an attempt.
     *
     * @param nowMs the time of the event, in milliseconds
     * @param endpoint the endpoint that the attempt was sent to
     * @param atOrigin whether that endpoint is the origin
     */
    void record(
            double nowMs,
            PendingRequest request,
            EndpointEntry endpoint,
            boolean atOrigin,
            AttemptEnd end,
            RoutingActions out) {
        if (request.isHedged() && end.attemptIndex() > 0 && end.outcome() == AttemptOutcome.OK) {
            hedging.recordSuccessfulHedge();
        }
        if (atOrigin) {
            overloadProtection.recordOriginOutcome(nowMs, end.outcome());
        }
        switch (end.outcome()) {
            case OK, MISS, REJECTED -> recordResponse(nowMs, request, endpoint, atOrigin, end, out);
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

    private void recordResponse(
            double nowMs,
            PendingRequest request,
            EndpointEntry endpoint,
            boolean atOrigin,
            AttemptEnd end,
            RoutingActions out) {
        endpoint.health().recordResponse(nowMs);
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
        // Under overload a slow response is not the endpoint's own fault. Evaluated for the origin too, because
        // isOverloaded decays the throttle's counts.
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

    /** Records that a cache endpoint has served the request. */
    private void recordServed(double nowMs, PendingRequest request, AttemptEnd end) {
        endpointThrottle.recordRequest(nowMs);
        double objectiveMs = request.serviceClass().latencyObjectiveMs();
        if (end.elapsedMs() <= objectiveMs - latency.originFetchMs()) { // in time even if it had been a miss
            endpointThrottle.recordCompletedInTime(nowMs);
        }
        latency.recordEndpointResponse(end.elapsedMs(), latency.relativeCost(request.request()));
        hedging.recordResponse();
    }

    /** Records that the origin has served the request. */
    private void recordFetched(double nowMs, PendingRequest request, AttemptEnd end) {
        if (nowMs <= request.objectiveEndMs()) {
            originThrottle.recordCompletedInTime(nowMs);
        }
        latency.recordOriginResponse(end.elapsedMs());
    }

    /** Records that a cache endpoint did not respond; the cause is CONNECT_FAILED, RESET or TIMEOUT. */
    private void recordFailure(double nowMs, EndpointEntry endpoint, AttemptOutcome cause, RoutingActions out) {
        boolean timedOut = cause == AttemptOutcome.TIMEOUT;
        int expectedFailures = endpointThrottle.isOverloaded(nowMs) ? 1 : 0;
        // A timeout counts as load only if the endpoint was not failing already: one that is down is no sign of
        // overload.
        if (timedOut && endpoint.health().consecutiveFailures() <= expectedFailures) {
            endpointThrottle.recordRequest(nowMs);
        }
        if (!timedOut) { // a timeout was reported when the attempt became overdue
            out.reportSignal(endpoint.id(), EndpointSignal.UNRESPONSIVE);
        }
        if (cause == AttemptOutcome.RESET) {
            outliers.onReset(nowMs, endpoint);
        } else {
            outliers.onNoResponse(nowMs, endpoint);
        }
    }
}

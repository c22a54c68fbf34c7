package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import java.util.function.Supplier;

/**
 * Whether an attempt that is otherwise possible is made now: sheds load from overloaded endpoints and from the origin,
 * and has one request at a time fetch an object. Times in milliseconds.
 */
final class OverloadProtection {
    /** Half of an endpoint's first ejection, in connect timeouts: there is no other origin to go to. */
    private static final int ORIGIN_BREAKER_CONNECT_TIMEOUTS = 5;

    private final Supplier<RoutingSettings> settings;
    private final LatencyEstimates latency;
    private final LoadShedding shedding;
    private final AdaptiveThrottle endpointThrottle;
    private final AdaptiveThrottle originThrottle;
    private final FetchCoalescer fetches;
    private final CircuitBreaker originBreaker = new CircuitBreaker();

    OverloadProtection(
            Supplier<RoutingSettings> settings,
            LatencyEstimates latency,
            LoadShedding shedding,
            AdaptiveThrottle endpointThrottle,
            AdaptiveThrottle originThrottle,
            FetchCoalescer fetches) {
        this.settings = settings;
        this.latency = latency;
        this.shedding = shedding;
        this.endpointThrottle = endpointThrottle;
        this.originThrottle = originThrottle;
        this.fetches = fetches;
    }

    /** What becomes of an attempt. */
    enum Decision {
        SEND,
        /** The request waits for another's fetch of its object. */
        WAIT,
        GIVE_UP
    }

    /** Whether an attempt at a cache endpoint is made; only first attempts that are harmless to repeat are shed. */
    Decision admitToEndpoint(double nowMs, PendingRequest request) {
        boolean sheddable = request.attemptCount() == 0 && request.isIdempotent();
        return sheddable && shedding.shouldReject(request, endpointThrottle.excess(nowMs))
                ? Decision.GIVE_UP
                : Decision.SEND;
    }

    /** Whether an attempt at the origin is made. */
    Decision admitToOrigin(double nowMs, PendingRequest request) {
        if (originBreaker.isOpen(nowMs)) { // the next attempt would wait for nothing, and its client learn of it late
            return Decision.GIVE_UP;
        }
        if (request.request().write() || request.request().key() == 0) {
            originThrottle.recordRequest(nowMs);
            return Decision.SEND;
        }
        return admitFetch(nowMs, request);
    }

    private Decision admitFetch(double nowMs, PendingRequest request) {
        if (fetches.join(request)) {
            return Decision.WAIT;
        }
        double excess = originThrottle.excess(nowMs);
        boolean tooLate = excess > 0 && nowMs + latency.originFetchMs() > request.objectiveEndMs();
        if (!tooLate) { // what is rejected as too late doesn't count, or the throttle stays shut
            originThrottle.recordRequest(nowMs);
        }
        if (tooLate || shedding.shouldReject(request, excess)) {
            return Decision.GIVE_UP;
        }
        fetches.start(request);
        return Decision.SEND;
    }

    /** An attempt at the origin has ended, which tells of the path there. */
    void recordOriginOutcome(double nowMs, AttemptOutcome outcome) {
        switch (outcome) {
            case CONNECT_FAILED, RESET, NOT_SENT -> originThrottle.withdrawRequest(nowMs);
            default -> {}
        }
        switch (outcome) {
            case CONNECT_FAILED -> {
                double openMs = ORIGIN_BREAKER_CONNECT_TIMEOUTS * settings.get().connectTimeoutMs();
                originBreaker.recordFailure(nowMs, ExponentialBackoff.ofDoublings(openMs, 0));
            }
            case TIMEOUT, CANCELLED -> {} // no word on the path, either way
            default -> originBreaker.recordSuccess();
        }
    }
}

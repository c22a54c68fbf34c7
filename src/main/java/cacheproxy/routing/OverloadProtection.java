package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import java.util.function.Supplier;

/**
 * Decides whether an attempt that is otherwise possible is sent now: sheds load of overloaded endpoints and of the
 * origin, and lets only one request at a time fetch an object. Times in milliseconds.
 */
final class OverloadProtection {
    /** The open time in connect timeouts; half of an endpoint's first ejection, as there is no other origin. */
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

    /** The decision on an attempt. */
    enum Decision {
        SEND,
        /** The request waits for another request's fetch of the object. */
        WAIT,
        GIVE_UP
    }

    /** Decides on an attempt at a cache endpoint; only first attempts of idempotent requests are shed. */
    Decision admitToEndpoint(double nowMs, PendingRequest request) {
        boolean sheddable = request.attemptCount() == 0 && request.isIdempotent();
        return sheddable && shedding.shouldReject(request, endpointThrottle.excess(nowMs))
                ? Decision.GIVE_UP
                : Decision.SEND;
    }

    /** Decides on an attempt at the origin. */
    Decision admitToOrigin(double nowMs, PendingRequest request) {
        if (originBreaker.isOpen(nowMs)) { // another attempt would only delay the answer to the client
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
        if (!tooLate) { // counting requests rejected as too late would keep the throttle active
            originThrottle.recordRequest(nowMs);
        }
        if (tooLate || shedding.shouldReject(request, excess)) {
            return Decision.GIVE_UP;
        }
        fetches.start(request);
        return Decision.SEND;
    }

    /** Records the end of an attempt at the origin in its throttle and circuit breaker. */
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
            case TIMEOUT, CANCELLED -> {} // tells nothing about whether the origin can be reached
            default -> originBreaker.recordSuccess();
        }
    }
}

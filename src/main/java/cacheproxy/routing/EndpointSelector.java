package cacheproxy.routing;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Selects the endpoint for the next attempt of a request: the first in the key's CARP ranking that can be contacted, or
 * the origin. The CARP draft selects the member with the highest score (section 3.4), or the next one if that member
 * can't be contacted (section 3.5). Deviations from the draft are explained in the code that makes them.
 */
final class EndpointSelector {
    /** The number of ranks considered after the replicas of a key. */
    private static final int MAX_SUCCESSORS = 8;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;
    private final EndpointTable endpoints;
    private final ZoneCircuitBreaker zones;
    private final OutlierDetection outliers;
    private final SlowStart slowStart;
    private final CarpRanking ranking = new CarpRanking();

    EndpointSelector(
            Supplier<RoutingSettings> settings,
            SplittableRandom random,
            EndpointTable endpoints,
            ZoneCircuitBreaker zones,
            OutlierDetection outliers,
            SlowStart slowStart) {
        this.settings = settings;
        this.random = random;
        this.endpoints = endpoints;
        this.zones = zones;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    /** The endpoint or the origin for the next attempt; null if there is none. May start a health check. */
    EndpointEntry select(double nowMs, PendingRequest request, RoutingActions out) {
        boolean mayFetch = settings.get().cacheAside() && request.isIdempotent();
        boolean endpointsSpent = request.attemptCount() >= RetryPolicy.MAX_ENDPOINT_ATTEMPTS && !request.hasMissed();
        if (request.targetsOrigin() || (mayFetch && endpointsSpent)) {
            return orElseOrigin(endpoints.origin(), mayFetch);
        }
        return orElseOrigin(selectEndpoint(nowMs, request, out), mayFetch);
    }

    private EndpointEntry orElseOrigin(EndpointEntry selected, boolean mayFetch) {
        return selected == null && mayFetch ? endpoints.origin() : selected;
    }

    private EndpointEntry selectEndpoint(double nowMs, PendingRequest request, RoutingActions out) {
        int replicas = request.replicas();
        ranking.rank(
                endpoints.ranked(), request.keyHash(), Math.min(endpoints.rankedCount(), replicas + MAX_SUCCESSORS));
        // Starts at a random replica of a hot key, so that the replicas share its load.
        int offset = replicas > 1 ? random.nextInt(replicas) : 0;
        EndpointEntry fallback = null;
        for (int i = 0; i < ranking.count(); i++) {
            EndpointEntry endpoint = ranking.at(i < replicas ? (i + offset) % replicas : i);
            if (request.wasSentTo(endpoint) && !request.hasMissedAt(endpoint)) {
                continue;
            }
            boolean diverted = zones.isDiverted(endpoint.zone(), request.keyHash());
            if (fallback == null && !diverted && !slowStart.isWarmingUp(nowMs, endpoint)) {
                fallback = endpoint;
            }
            if (diverted ? mayProbeZone(nowMs, request, endpoint) : mayUse(nowMs, request, endpoint, out)) {
                return endpoint;
            }
        }
        // If every endpoint is unavailable, an attempt at the first untried one is better than no attempt.
        return fallback;
    }

    private boolean mayProbeZone(double nowMs, PendingRequest request, EndpointEntry endpoint) {
        boolean expendable = request.isIdempotent() && request.attemptCount() == 0;
        if (!zones.isProbeAllowed(endpoint.zone())
                || !expendable
                || endpoint.health().isAtConnectionLimit(nowMs)
                || !slowStart.admits(nowMs, request, endpoint)) {
            return false;
        }
        zones.probeSent(endpoint.zone());
        return true;
    }

    private boolean mayUse(double nowMs, PendingRequest request, EndpointEntry endpoint, RoutingActions out) {
        if (endpoint.health().isAtConnectionLimit(nowMs)) {
            return false;
        }
        boolean available = endpoint.health().isInService()
                ? !zones.isOpen(nowMs, endpoint.zone())
                : outliers.startProbe(nowMs, request, endpoint, out);
        return available && slowStart.admits(nowMs, request, endpoint);
    }
}

package cacheproxy.routing;

import java.util.List;

/**
 * Hands what one instance has learned over to its successor. Guards against a successor that sends to endpoints known
 * to be silent, and floods a cold origin.
 */
final class LearnedStateTransfer {
    private final EndpointTable endpoints;
    private final LatencyEstimates latency;
    private final AdaptiveThrottle originThrottle;
    private final AdaptiveThrottle endpointThrottle;
    private final HotKeys hotKeys;

    LearnedStateTransfer(
            EndpointTable endpoints,
            LatencyEstimates latency,
            AdaptiveThrottle originThrottle,
            AdaptiveThrottle endpointThrottle,
            HotKeys hotKeys) {
        this.endpoints = endpoints;
        this.latency = latency;
        this.originThrottle = originThrottle;
        this.endpointThrottle = endpointThrottle;
        this.hotKeys = hotKeys;
    }

    /** All of it, as of this time in milliseconds. */
    LearnedState save(double nowMs) {
        List<EndpointHealthRecord> health = endpoints.all().stream()
                .filter(entry -> entry.health().hasFindings())
                .map(entry -> entry.health().toRecord(entry.endpoint()))
                .toList();
        return new LearnedState(
                latency.originFetchMs(),
                latency.endpointMs(),
                latency.endpointDeviationMs(),
                latency.meanCostMs(),
                originThrottle.load(nowMs),
                endpointThrottle.load(nowMs),
                hotKeys.total(),
                hotKeys.hottest(),
                health);
    }

    /** Goes on from it. Of endpoints that are not in the list, or have started since, nothing is taken. */
    void resume(double nowMs, LearnedState learned) {
        latency.resume(learned);
        originThrottle.resume(nowMs, learned.originLoad());
        endpointThrottle.resume(nowMs, learned.endpointLoad());
        hotKeys.resume(nowMs, learned.keyRequestCount(), learned.hotKeys());
        for (EndpointHealthRecord health : learned.endpoints()) {
            EndpointEntry entry = endpoints.get(health.id());
            if (entry != null && entry.endpoint().startTimeMs() == health.startTimeMs()) {
                entry.health().resume(health);
            }
        }
    }
}

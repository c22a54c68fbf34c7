package cacheproxy.routing;

import java.util.List;

/**
 * Transfers the learned state of one instance to its successor. Without it, the successor would send requests to
 * endpoints known to be unresponsive, and would flood a cold origin.
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

    /** Captures the state as of this time, in milliseconds. */
    LearnedState capture(double nowMs) {
        List<EndpointHealthRecord> health = endpoints.all().stream()
                .filter(entry -> entry.health().hasRecordedFailures())
                .map(entry -> entry.health().toRecord(entry.endpoint()))
                .toList();
        return new LearnedState(
                latency.originFetchMs(),
                latency.endpointMs(),
                latency.endpointDeviationMs(),
                latency.meanCostMs(),
                originThrottle.counts(nowMs),
                endpointThrottle.counts(nowMs),
                hotKeys.total(),
                hotKeys.hottest(),
                health);
    }

    /** Restores the state, except for endpoints that are not in the list or have restarted since. */
    void restore(double nowMs, LearnedState learned) {
        latency.restore(learned);
        originThrottle.restore(nowMs, learned.originLoad());
        endpointThrottle.restore(nowMs, learned.endpointLoad());
        hotKeys.restore(nowMs, learned.keyRequestCount(), learned.hotKeys());
        for (EndpointHealthRecord health : learned.endpoints()) {
            EndpointEntry entry = endpoints.get(health.id());
            if (entry != null && entry.endpoint().startTimeMs() == health.startTimeMs()) {
                entry.health().restore(health);
            }
        }
    }
}

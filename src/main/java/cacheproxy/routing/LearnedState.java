package cacheproxy.routing;

import java.util.List;

/** What a module has learnt in service, for another that goes on in its place. Times in milliseconds. */
public record LearnedState(
        double originFetchMs,
        double usualLatencyMs,
        double latencyDeviationMs,
        double usualCostMs,
        LoadCount originLoad,
        LoadCount endpointLoad,
        double keyRequestCount,
        List<HotKey> hotKeys,
        List<EndpointHealthRecord> endpoints) {}

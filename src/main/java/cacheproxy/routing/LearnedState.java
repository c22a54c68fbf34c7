package cacheproxy.routing;

import java.util.List;

/**
 * The state that an instance has learned in service, for transfer to its successor.
 *
 * @param originFetchMs the mean duration of a fetch from the origin, in milliseconds
 * @param meanLatencyMs the mean latency of a cache endpoint for a request of mean cost, in milliseconds
 * @param latencyDeviationMs the mean deviation from that latency, in milliseconds
 * @param meanCostMs the mean cost hint of requests, in milliseconds; 0 if there were none
 * @param originLoad the load on the origin
 * @param endpointLoad the load on all cache endpoints together
 * @param keyRequestCount the decaying count of requests for all keys
 * @param hotKeys the most requested keys, in descending order of their counts
 * @param endpoints the endpoints with recorded failures or slow responses
 */
public record LearnedState(
        double originFetchMs,
        double meanLatencyMs,
        double latencyDeviationMs,
        double meanCostMs,
        LoadCount originLoad,
        LoadCount endpointLoad,
        double keyRequestCount,
        List<HotKey> hotKeys,
        List<EndpointHealthRecord> endpoints) {}

package cacheproxy.routing;

import java.util.List;

/**
 * What an instance has learned in service, for another that goes on in its place.
 *
 * @param originFetchMs how long a fetch from the origin usually takes, in milliseconds
 * @param meanLatencyMs how long a cache endpoint usually takes for usual work, in milliseconds
 * @param latencyDeviationMs the mean deviation from that, in milliseconds
 * @param meanCostMs the usual cost hint of requests, in milliseconds; 0 if there were none
 * @param originLoad what the origin was asked
 * @param endpointLoad what all cache endpoints together were asked
 * @param keyRequestCount requests for all keys, decaying
 * @param hotKeys the keys asked for most, hottest first
 * @param endpoints those of which anything is held
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

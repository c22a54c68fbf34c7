package cacheproxy.routing;

/**
 * Mean latencies of the cache endpoints and the origin, as exponential moving averages over this instance's own
 * attempts, and the mean cost hint of requests. Times in milliseconds.
 */
final class LatencyEstimates {
    /** The inverse of a sample's weight in the moving average. */
    private static final int ENDPOINT_SAMPLES = 16;

    private static final int ORIGIN_SAMPLES = 8;
    private static final int COST_SAMPLES = 32;
    /** The initial estimate is the shortest latency objective of all service classes divided by this. */
    private static final int INITIAL_ORIGIN_DIVISOR = 4;

    private static final int INITIAL_ENDPOINT_DIVISOR = 8;

    private double originFetchMs;
    private double endpointMs;
    private double endpointDeviationMs;
    private double meanCostMs;

    /** Creates initial estimates from the shortest latency objective of all service classes. */
    LatencyEstimates(double shortestObjectiveMs) {
        originFetchMs = shortestObjectiveMs / INITIAL_ORIGIN_DIVISOR;
        endpointMs = shortestObjectiveMs / INITIAL_ENDPOINT_DIVISOR;
        endpointDeviationMs = endpointMs;
    }

    /** Records the cost hint of a request; 0 or NaN if it has none, which is ignored. */
    void recordCostHint(double costMs) {
        if (costMs > 0) {
            meanCostMs += (costMs - meanCostMs) / (meanCostMs > 0 ? COST_SAMPLES : 1);
        }
    }

    /** The request's cost hint relative to the mean; 1 if there is no hint. */
    double relativeCost(Request request) {
        return request.costMs() > 0 && meanCostMs > 0 ? request.costMs() / meanCostMs : 1;
    }

    /** Records the response of a cache endpoint to a request with this relative cost. */
    void recordEndpointResponse(double elapsedMs, double relativeCost) {
        double sampleMs = elapsedMs / relativeCost;
        endpointDeviationMs += (Math.abs(sampleMs - endpointMs) - endpointDeviationMs) / ENDPOINT_SAMPLES;
        endpointMs += (sampleMs - endpointMs) / ENDPOINT_SAMPLES;
    }

    void recordOriginResponse(double elapsedMs) {
        originFetchMs += (elapsedMs - originFetchMs) / ORIGIN_SAMPLES;
    }

    double originFetchMs() {
        return originFetchMs;
    }

    double endpointMs() {
        return endpointMs;
    }

    double endpointDeviationMs() {
        return endpointDeviationMs;
    }

    double meanCostMs() {
        return meanCostMs;
    }

    void restore(LearnedState learned) {
        originFetchMs = learned.originFetchMs();
        endpointMs = learned.meanLatencyMs();
        endpointDeviationMs = learned.latencyDeviationMs();
        meanCostMs = learned.meanCostMs();
    }
}

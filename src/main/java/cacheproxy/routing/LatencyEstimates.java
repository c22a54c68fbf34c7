package cacheproxy.routing;

/**
 * How long answers usually take at the cache endpoints and at the origin, as moving averages over this instance's own
 * attempts, and how much work a request usually is. Times in milliseconds.
 */
final class LatencyEstimates {
    /** A sample has this weight in the moving average, as its inverse. */
    private static final int ENDPOINT_SAMPLES = 16;

    private static final int ORIGIN_SAMPLES = 8;
    private static final int COST_SAMPLES = 32;
    /** Before the first answers, relative to the shortest latency objective of all classes. */
    private static final int INITIAL_ORIGIN_DIVISOR = 4;

    private static final int INITIAL_ENDPOINT_DIVISOR = 8;

    private double originFetchMs;
    private double endpointMs;
    private double endpointDeviationMs;
    private double meanCostMs;

    /** Estimates before any answer, from the shortest latency objective of all classes. */
    LatencyEstimates(double shortestObjectiveMs) {
        originFetchMs = shortestObjectiveMs / INITIAL_ORIGIN_DIVISOR;
        endpointMs = shortestObjectiveMs / INITIAL_ENDPOINT_DIVISOR;
        endpointDeviationMs = endpointMs;
    }

    /** A request's cost hint; not over 0 or NaN where it has none. */
    void recordCostHint(double costMs) {
        if (costMs > 0) {
            meanCostMs += (costMs - meanCostMs) / (meanCostMs > 0 ? COST_SAMPLES : 1);
        }
    }

    /** The work that a request's cost hint promises, in units of the usual; 1 where there is no hint. */
    double relativeWork(Request request) {
        return request.costMs() > 0 && meanCostMs > 0 ? request.costMs() / meanCostMs : 1;
    }

    /** An endpoint's answer to a request of this much work, in units of the usual. */
    void recordEndpointAnswer(double elapsedMs, double relativeWork) {
        double sampleMs = elapsedMs / relativeWork;
        endpointDeviationMs += (Math.abs(sampleMs - endpointMs) - endpointDeviationMs) / ENDPOINT_SAMPLES;
        endpointMs += (sampleMs - endpointMs) / ENDPOINT_SAMPLES;
    }

    void recordOriginAnswer(double elapsedMs) {
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

    void resume(LearnedState learned) {
        originFetchMs = learned.originFetchMs();
        endpointMs = learned.meanLatencyMs();
        endpointDeviationMs = learned.latencyDeviationMs();
        meanCostMs = learned.meanCostMs();
    }
}

package cacheproxy.routing;

/**
 * The end of an attempt.
 *
 * @param requestId the request's id
 * @param attemptIndex the attempt's index among those of its request, from 0
 * @param endpointId the endpoint's id
 * @param elapsedMs the duration of the attempt, in milliseconds
 * @param requestCompleted whether the response was the request's final answer
 * @param note additional information in the response, such as {@link LoadBalancer#NOTE_FETCH_IN_FLIGHT}; 0 for none
 * @param report the endpoint's load report, with values in the order of {@link RoutingSettings#loadReportFields}; null
 *     if there is none
 */
public record AttemptEnd(
        int requestId,
        int attemptIndex,
        int endpointId,
        AttemptOutcome outcome,
        double elapsedMs,
        boolean requestCompleted,
        int note,
        float[] report) {}

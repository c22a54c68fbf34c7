package cacheproxy.routing;

/**
 * The end of an attempt.
 *
 * @param requestId the request's id
 * @param attemptIndex the attempt's index among those of its request, from 0
 * @param endpointId the endpoint's id
 * @param elapsedMs from its start to its end, in milliseconds
 * @param requestCompleted whether its answer was the request's final answer
 * @param note what the endpoint adds to its answer, as {@link LoadBalancer#NOTE_FETCH_IN_FLIGHT}; 0 for nothing
 * @param report the endpoint's load report, its values in the order of the settings' fields; null if there is none
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

package cacheproxy.routing;

/**
 * The learned health of an endpoint.
 *
 * @param id the endpoint's id
 * @param startTimeMs the start time of the observed incarnation, as in {@link Endpoint#startTimeMs}
 * @param consecutiveFailures the number of failures since the last timely response
 * @param ejectedUntilMs the end of the ejection, in milliseconds of the clock of events
 * @param slowResponses the number of slow responses since the last timely response
 */
public record EndpointHealthRecord(
        int id, double startTimeMs, int consecutiveFailures, double ejectedUntilMs, int slowResponses) {}

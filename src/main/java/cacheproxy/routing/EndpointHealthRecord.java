package cacheproxy.routing;

/**
 * What has been learned of an endpoint's health.
 *
 * @param id the endpoint
 * @param startTimeMs of the incarnation that this was seen of, as in {@link Endpoint#startTimeMs}
 * @param consecutiveFailures in a row, since it last answered in time
 * @param ejectedUntilMs until when it is ejected, in milliseconds of the clock of events
 * @param slowResponses in a row, since it last answered in time
 */
public record EndpointHealthRecord(
        int id, double startTimeMs, int consecutiveFailures, double ejectedUntilMs, int slowResponses) {}

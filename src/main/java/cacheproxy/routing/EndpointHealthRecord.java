package cacheproxy.routing;

/** What has been seen of a server; the times are those of events. {@code failures}: since it last answered. */
public record EndpointHealthRecord(
        int id, double startTimeMs, int failures, double ejectedUntilMs, int slowResponses) {}

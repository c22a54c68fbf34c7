package cacheproxy.routing;

/** The location of an endpoint for {@link DeduplicationScope}: its zone and its cell. */
public record EndpointLocation(int zone, int cell) {}

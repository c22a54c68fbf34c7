package cacheproxy.routing;

/** Where an endpoint stands, as far as the scope of deduplication asks: its zone, and the cell within the list. */
public record EndpointLocation(int zone, int cell) {}

package cacheproxy.routing;

/**
 * How far the fleet has a zone open: a server of it can be contacted for keys whose lot, the same at all instances,
 * lies under {@code trafficFraction}, 0 to 1. {@code probeAllowed}: one request may try it all the same.
 * {@code resetHealth}: what has been seen of its servers is of the past.
 */
public record ZoneDirective(int zone, double trafficFraction, boolean probeAllowed, boolean resetHealth) {}

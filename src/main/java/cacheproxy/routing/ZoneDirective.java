package cacheproxy.routing;

/**
 * How much of its traffic the fleet sends to a zone from now on.
 *
 * @param zone the zone's index in the settings
 * @param trafficFraction the part of keys, the same ones at all instances, that may go to the zone's endpoints, 0 to 1
 * @param probeAllowed whether this instance may send one request to the zone all the same
 * @param resetHealth whether what has been seen of the zone's endpoints is of the past
 */
public record ZoneDirective(int zone, double trafficFraction, boolean probeAllowed, boolean resetHealth) {}

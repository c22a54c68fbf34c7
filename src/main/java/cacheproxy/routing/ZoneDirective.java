package cacheproxy.routing;

/**
 * How much of its traffic a zone receives from the fleet from now on.
 *
 * @param zone the zone's index in the settings
 * @param trafficFraction the fraction of keys that may go to the zone's endpoints, 0 to 1; the same keys at all
 *     instances
 * @param probeAllowed whether this instance may send one probe request to the zone nevertheless
 * @param resetHealth whether to discard the observed health of the zone's endpoints
 */
public record ZoneDirective(int zone, double trafficFraction, boolean probeAllowed, boolean resetHealth) {}

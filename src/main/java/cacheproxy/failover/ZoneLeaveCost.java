package cacheproxy.failover;

/**
 * What leaving a zone would cost, by what this instance sees now.
 *
 * @param movedPerSecond requests of this instance a second that would go elsewhere; each key misses once there
 * @param otherZonesLoadFactor by how much the load of the other zones' nodes would grow, 1 for not at all; infinite if
 *     there are none
 * @param allowed whether enough of all zones together would stay open
 */
public record ZoneLeaveCost(double movedPerSecond, double otherZonesLoadFactor, boolean allowed) {}

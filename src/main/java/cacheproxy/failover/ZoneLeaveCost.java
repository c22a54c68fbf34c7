package cacheproxy.failover;

/**
 * The expected cost of leaving a zone, by what this instance observes now.
 *
 * @param movedPerSecond requests of this instance per second that would go to other zones; each key misses once there
 * @param otherZonesLoadFactor the factor by which the load of the other zones' nodes would grow; 1 if it would not,
 *     infinite if there are no other nodes
 * @param allowed whether enough of all zones together would stay open
 */
public record ZoneLeaveCost(double movedPerSecond, double otherZonesLoadFactor, boolean allowed) {}

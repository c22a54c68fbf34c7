package cacheproxy.failover;

/**
 * A change of the decision on a zone.
 *
 * @param zone its number
 * @param before the state until then
 * @param after the state from then on
 * @param reason why it changed, or on whose account; for people
 */
public record ZoneTransition(int zone, ZoneState before, ZoneState after, String reason) {}

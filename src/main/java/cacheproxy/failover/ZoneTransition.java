package cacheproxy.failover;

/**
 * A change of what is decided of a zone.
 *
 * @param zone its number
 * @param before the state until then
 * @param after the state from now on
 * @param reason why, or by whom; for people
 */
public record ZoneTransition(int zone, ZoneState before, ZoneState after, String reason) {}

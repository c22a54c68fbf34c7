package cacheproxy.failover;

/**
 * What an instance holds of a zone for its next start.
 *
 * @param state as decided
 * @param minEpoch an epoch that has been in use, at least the state's; the next decision goes beyond it
 */
public record StoredZoneState(ZoneState state, int minEpoch) {}

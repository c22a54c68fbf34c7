package cacheproxy.failover;

/**
 * What an instance stores of a zone for its next start.
 *
 * @param state the decided state
 * @param minEpoch an epoch that has been in use, at least the state's; the next decision has a higher one
 */
public record StoredZoneState(ZoneState state, int minEpoch) {}

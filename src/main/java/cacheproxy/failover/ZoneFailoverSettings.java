package cacheproxy.failover;

/**
 * The settings of zone failover.
 *
 * @param instanceId this instance's number, 0 or more
 * @param homeZone this instance's zone, 0 to {@code zoneCount} less one
 * @param zoneCount the number of zones of cache nodes, 1 or more; for zones beyond the first {@link #MAX_ZONES} each
 *     instance relies on its own observations
 * @param warmUpMs how long a node that has just started is cold, in milliseconds, 0 or more
 */
public record ZoneFailoverSettings(int instanceId, int homeZone, int zoneCount, double warmUpMs) {
    /** The number of zones that take part: the plan has to fit into one metadata value. */
    public static final int MAX_ZONES = FailoverPlan.MAX_ZONES;

    /** Checks the ranges. */
    public ZoneFailoverSettings {
        if (instanceId < 0
                || zoneCount < 1
                || homeZone < 0
                || homeZone >= zoneCount
                || !(warmUpMs >= 0 && warmUpMs < 1e9)) {
            throw new IllegalArgumentException("instance " + instanceId + " in zone " + homeZone + " of " + zoneCount
                    + " with a warm-up of " + warmUpMs + " ms is out of range");
        }
    }

    /** How many zones take part. */
    int decidedZoneCount() {
        return Math.min(zoneCount, MAX_ZONES);
    }
}

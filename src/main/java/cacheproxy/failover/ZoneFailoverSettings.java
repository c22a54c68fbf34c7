package cacheproxy.failover;

/**
 * What holds for leaving zones and returning to them.
 *
 * @param instanceId this instance's number, 0 or more
 * @param homeZone the zone in which it stands, 0 to {@code zoneCount} less one
 * @param zoneCount of cache nodes, 1 or more; those beyond the first {@link #MAX_ZONES} are left to each instance's own
 *     evidence
 * @param warmUpMs how long a node that has just started is cold, in milliseconds, 0 or more
 */
public record ZoneFailoverSettings(int instanceId, int homeZone, int zoneCount, double warmUpMs) {
    /** So many zones may be left: what is decided of them has to fit in a note of the view. */
    public static final int MAX_ZONES = FailoverPlan.MAX_ZONES;

    /** Checks the ranges. */
    public ZoneFailoverSettings {
        if (instanceId < 0
                || zoneCount < 1
                || homeZone < 0
                || homeZone >= zoneCount
                || !(warmUpMs >= 0 && warmUpMs < 1e9)) {
            throw new IllegalArgumentException("instance " + instanceId + " in zone " + homeZone + " of " + zoneCount
                    + " with a warm-up of " + warmUpMs + " ms");
        }
    }

    /** How many zones take part. */
    int decidedZoneCount() {
        return Math.min(zoneCount, MAX_ZONES);
    }
}

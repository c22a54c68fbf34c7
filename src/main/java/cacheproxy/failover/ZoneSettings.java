package cacheproxy.failover;

/**
 * What holds for leaving zones and returning to them.
 *
 * @param me this instance's number, 0 or more
 * @param home the zone in which it stands, 0 to {@code zones} less one
 * @param zones of cache nodes, 1 or more; those beyond the first {@link #MOST_ZONES} are left to each instance's own
 *     evidence
 * @param warmUpMs how long a node that has just started is cold, in milliseconds, 0 or more
 */
public record ZoneSettings(int me, int home, int zones, double warmUpMs) {
    /** So many zones may be left: what is decided of them has to fit in a note of the view. */
    public static final int MOST_ZONES = Plan.MOST_ZONES;

    /** Checks the ranges. */
    public ZoneSettings {
        if (me < 0 || zones < 1 || home < 0 || home >= zones || !(warmUpMs >= 0 && warmUpMs < 1e9)) {
            throw new IllegalArgumentException(
                    "instance " + me + " in zone " + home + " of " + zones + " with a warm-up of " + warmUpMs + " ms");
        }
    }

    /** How many zones take part. */
    int decided() {
        return Math.min(zones, MOST_ZONES);
    }
}

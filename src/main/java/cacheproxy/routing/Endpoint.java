package cacheproxy.routing;

/**
 * One endpoint of the list: a cache node, or the origin of a cache-aside deployment.
 *
 * @param id unique in the list; an unsigned 32-bit number
 * @param zone the zone's index in the settings
 * @param kind the index of its kind in the settings
 * @param cell the group of endpoints that share deduplication, see {@link DeduplicationScope#CELL}
 * @param weight its relative share of the keys; 0 or more
 * @param startTimeMs when it last started, in milliseconds of the list's clock; 0 if it started long ago
 * @param localStartTimeMs the same, in milliseconds of this instance's clock
 */
public record Endpoint(
        int id,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        float weight,
        double startTimeMs,
        double localStartTimeMs) {
    /** Creates an endpoint from a list that uses this instance's clock. */
    public Endpoint(int id, int zone, int kind, int cell, EndpointState state, float weight, double startTimeMs) {
        this(id, zone, kind, cell, state, weight, startTimeMs, startTimeMs);
    }

    /** A copy with this start time, in milliseconds of this instance's clock. */
    public Endpoint withLocalStartTime(double ms) {
        return new Endpoint(id, zone, kind, cell, state, weight, startTimeMs, ms);
    }

    /** The zone and cell of this endpoint. */
    public EndpointLocation location() {
        return new EndpointLocation(zone, cell);
    }
}

package cacheproxy.routing;

/**
 * One endpoint of the list: a cache node, or the origin of a cache-aside deployment.
 *
 * @param id unique in the list; its bits are unsigned
 * @param zone the zone's index in the settings
 * @param kind the index of its kind in the settings
 * @param cell the group within the list that shares its deduplication
 * @param weight its part of the keys, relative to others; 0 or more
 * @param startTimeMs when it last started, in milliseconds of the list's clock; 0 if long ago
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
    /** An endpoint of a list whose clock is this instance's. */
    public Endpoint(int id, int zone, int kind, int cell, EndpointState state, float weight, double startTimeMs) {
        this(id, zone, kind, cell, state, weight, startTimeMs, startTimeMs);
    }

    /** This endpoint, started at this time in milliseconds of the instance's clock. */
    public Endpoint withLocalStartTime(double ms) {
        return new Endpoint(id, zone, kind, cell, state, weight, startTimeMs, ms);
    }

    /** Where it stands. */
    public EndpointLocation location() {
        return new EndpointLocation(zone, cell);
    }
}

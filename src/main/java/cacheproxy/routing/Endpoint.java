package cacheproxy.routing;

/**
 * One server of the list. {@code startTimeMs}: when it last started by the list's clock, 0 if long ago;
 * {@code localStartTimeMs}: the same by this instance's.
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
    /** One whose list and instance have the same clock. */
    public Endpoint(int id, int zone, int kind, int cell, EndpointState state, float weight, double bornMs) {
        this(id, zone, kind, cell, state, weight, bornMs, bornMs);
    }

    /** This one, started at this time of the instance's clock. */
    public Endpoint withLocalStartTime(double ms) {
        return new Endpoint(id, zone, kind, cell, state, weight, startTimeMs, ms);
    }

    /** Where it stands. */
    public EndpointLocation location() {
        return new EndpointLocation(zone, cell);
    }
}

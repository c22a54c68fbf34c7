package cacheproxy.proxy;

import cacheproxy.failover.ZoneLeaveCost;
import cacheproxy.failover.ZoneStatus;
import java.util.List;

/**
 * The operators' commands on zones, by way of one proxy. A zone that there is not is an IllegalArgumentException. Event
 * loop only.
 */
public final class ZoneOperations {
    private final ZoneFailoverCoordinator link;

    /** Shows the decisions that this link takes part in. */
    public ZoneOperations(ZoneFailoverCoordinator link) {
        this.link = link;
    }

    /** How each zone stands. */
    public List<ZoneStatus> status() {
        return link.failover().status(link.nowMs());
    }

    /** A zone's name by its number. */
    public String zoneName(int zone) {
        return link.zoneName(zone);
    }

    /** Whether this proxy hears enough of the fleet to decide for it. */
    public boolean hasQuorum() {
        return link.failover().hasQuorum();
    }

    /** Decisions that this proxy was the first to make. */
    public long decisionCount() {
        return link.failover().decisionCount();
    }

    /** What leaving a zone would cost. */
    public ZoneLeaveCost leaveCost(String zone) {
        return link.failover().leaveCost(link.nowMs(), link.zoneNumber(zone));
    }

    /**
     * Leaves a zone, until it is returned to or released.
     *
     * @param durationMs over which it is left, in milliseconds; 0 for at once
     * @throws IllegalArgumentException if that is too long, or too little would stay open
     */
    public void leave(String zone, double durationMs) {
        link.failover().leaveZone(link.nowMs(), link.zoneNumber(zone), durationMs);
        link.tick();
    }

    /** Opens a zone step by step, whatever its health. */
    public void returnTo(String zone) {
        link.failover().returnToZone(link.nowMs(), link.zoneNumber(zone));
        link.tick();
    }

    /** Keeps a zone as it is, until it is released. */
    public void hold(String zone) {
        link.failover().holdZone(link.nowMs(), link.zoneNumber(zone));
        link.tick();
    }

    /** Takes orders for a zone back: its health decides again. */
    public void release(String zone) {
        link.failover().releaseZone(link.nowMs(), link.zoneNumber(zone));
        link.tick();
    }
}

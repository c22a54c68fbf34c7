package cacheproxy.proxy;

import cacheproxy.failover.ZoneLeaveCost;
import cacheproxy.failover.ZoneStatus;
import java.util.List;

/**
 * Operators' commands on zones, given to this instance. Methods that take a zone's name throw an
 * IllegalArgumentException if there is no such zone. Event loop only.
 */
public final class ZoneOperations {
    private final ZoneFailoverCoordinator coordinator;

    /** Creates the commands for the decisions of this coordinator. */
    public ZoneOperations(ZoneFailoverCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /** The status of each zone. */
    public List<ZoneStatus> status() {
        return coordinator.failover().status(coordinator.nowMs());
    }

    /** A zone's name; its index as text if it has none. */
    public String zoneName(int zone) {
        return coordinator.zoneName(zone);
    }

    /** Whether this instance has contact with enough of the fleet to make decisions for it. */
    public boolean hasQuorum() {
        return coordinator.failover().hasQuorum();
    }

    /** The number of decisions that this instance was the first to make. */
    public long decisionCount() {
        return coordinator.failover().decisionCount();
    }

    /** What leaving a zone would cost. */
    public ZoneLeaveCost leaveCost(String zone) {
        return coordinator.failover().leaveCost(coordinator.nowMs(), coordinator.zoneIndex(zone));
    }

    /**
     * Moves traffic out of a zone, until the zone is returned to or released.
     *
     * @param durationMs the time over which traffic is moved, in milliseconds; 0 for at once
     * @throws IllegalArgumentException if that is too long, or if too few zones would stay open
     */
    public void leave(String zone, double durationMs) {
        coordinator.failover().leaveZone(coordinator.nowMs(), coordinator.zoneIndex(zone), durationMs);
        coordinator.tick();
    }

    /** Opens a zone step by step, regardless of its health. */
    public void returnTo(String zone) {
        coordinator.failover().returnToZone(coordinator.nowMs(), coordinator.zoneIndex(zone));
        coordinator.tick();
    }

    /** Keeps a zone in its current state until it is released. */
    public void hold(String zone) {
        coordinator.failover().holdZone(coordinator.nowMs(), coordinator.zoneIndex(zone));
        coordinator.tick();
    }

    /** Revokes orders for a zone; its health decides again. */
    public void release(String zone) {
        coordinator.failover().releaseZone(coordinator.nowMs(), coordinator.zoneIndex(zone));
        coordinator.tick();
    }
}

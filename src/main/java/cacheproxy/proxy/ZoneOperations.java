package cacheproxy.proxy;

import cacheproxy.failover.ZoneLeaveCost;
import cacheproxy.failover.ZoneStatus;
import java.util.List;

/**
 * The operators' commands on zones, by way of one proxy. A zone that there is not is an IllegalArgumentException. Event
 * loop only.
 */
public final class ZoneOperations {
    private final ZoneFailoverCoordinator coordinator;

    /** Shows the decisions that this link takes part in. */
    public ZoneOperations(ZoneFailoverCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /** How each zone stands. */
    public List<ZoneStatus> status() {
        return coordinator.failover().status(coordinator.nowMs());
    }

    /** A zone's name by its number. */
    public String zoneName(int zone) {
        return coordinator.zoneName(zone);
    }

    /** Whether this proxy hears enough of the fleet to decide for it. */
    public boolean hasQuorum() {
        return coordinator.failover().hasQuorum();
    }

    /** Decisions that this proxy was the first to make. */
    public long decisionCount() {
        return coordinator.failover().decisionCount();
    }

    /** What leaving a zone would cost. */
    public ZoneLeaveCost leaveCost(String zone) {
        return coordinator.failover().leaveCost(coordinator.nowMs(), coordinator.zoneIndex(zone));
    }

    /**
     * Leaves a zone, until it is returned to or released.
     *
     * @param durationMs over which it is left, in milliseconds; 0 for at once
     * @throws IllegalArgumentException if that is too long, or too little would stay open
     */
    public void leave(String zone, double durationMs) {
        coordinator.failover().leaveZone(coordinator.nowMs(), coordinator.zoneIndex(zone), durationMs);
        coordinator.tick();
    }

    /** Opens a zone step by step, whatever its health. */
    public void returnTo(String zone) {
        coordinator.failover().returnToZone(coordinator.nowMs(), coordinator.zoneIndex(zone));
        coordinator.tick();
    }

    /** Keeps a zone as it is, until it is released. */
    public void hold(String zone) {
        coordinator.failover().holdZone(coordinator.nowMs(), coordinator.zoneIndex(zone));
        coordinator.tick();
    }

    /** Takes orders for a zone back: its health decides again. */
    public void release(String zone) {
        coordinator.failover().releaseZone(coordinator.nowMs(), coordinator.zoneIndex(zone));
        coordinator.tick();
    }
}

package cacheproxy.proxy;

import cacheproxy.failover.ZoneLeaveCost;
import cacheproxy.failover.ZoneStatus;
import java.util.List;

/** The zones as operators see and order them by one proxy. On the event loop only. */
public final class ZoneOperations {
    private final ZoneFailoverLink link;

    /** Shows the decisions that this link takes part in. */
    public ZoneOperations(ZoneFailoverLink link) {
        this.link = link;
    }

    /** How each zone stands. */
    public List<ZoneStatus> status() {
        return link.zones().status(link.now());
    }

    /** A zone's name by its number. */
    public String name(int zone) {
        return link.name(zone);
    }

    /** Whether this proxy hears enough of the fleet to decide for it. */
    public boolean quorum() {
        return link.zones().hasQuorum();
    }

    /** Decisions that this proxy was the first to make. */
    public long decided() {
        return link.zones().decisionCount();
    }

    /** What leaving a zone would cost. */
    public ZoneLeaveCost cost(String zone) {
        return link.zones().leaveCost(link.now(), link.number(zone));
    }

    /** Has it left, at once or over a time; an IllegalArgumentException says why not. */
    public void leave(String zone, double overMs) {
        link.zones().leaveZone(link.now(), link.number(zone), overMs);
        link.tick();
    }

    /** Has it opened step by step. */
    public void comeBack(String zone) {
        link.zones().returnToZone(link.now(), link.number(zone));
        link.tick();
    }

    /** Has it stay as it is. */
    public void hold(String zone) {
        link.zones().holdZone(link.now(), link.number(zone));
        link.tick();
    }

    /** Takes operators' orders back. */
    public void release(String zone) {
        link.zones().releaseZone(link.now(), link.number(zone));
        link.tick();
    }
}

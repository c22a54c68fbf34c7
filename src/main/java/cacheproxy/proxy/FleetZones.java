package cacheproxy.proxy;

import cacheproxy.failover.Zones;
import java.util.List;

/** The zones as operators see and order them by one proxy. On the event loop only. */
public final class FleetZones {
    private final ZoneLink link;

    /** Shows the decisions that this link takes part in. */
    public FleetZones(ZoneLink link) {
        this.link = link;
    }

    /** How each zone stands. */
    public List<Zones.Status> status() {
        return link.zones().status(link.now());
    }

    /** A zone's name by its number. */
    public String name(int zone) {
        return link.name(zone);
    }

    /** Whether this proxy hears enough of the fleet to decide for it. */
    public boolean quorum() {
        return link.zones().quorum();
    }

    /** Decisions that this proxy was the first to make. */
    public long decided() {
        return link.zones().decided();
    }

    /** What leaving a zone would cost. */
    public Zones.Cost cost(String zone) {
        return link.zones().cost(link.now(), link.number(zone));
    }

    /** Has it left, at once or over a time; an IllegalArgumentException says why not. */
    public void leave(String zone, double overMs) {
        link.zones().leave(link.now(), link.number(zone), overMs);
        link.tick();
    }

    /** Has it opened step by step. */
    public void comeBack(String zone) {
        link.zones().comeBack(link.now(), link.number(zone));
        link.tick();
    }

    /** Has it stay as it is. */
    public void hold(String zone) {
        link.zones().hold(link.now(), link.number(zone));
        link.tick();
    }

    /** Takes operators' orders back. */
    public void release(String zone) {
        link.zones().release(link.now(), link.number(zone));
        link.tick();
    }
}

package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;

/** The conditions of the links between a fleet's components under the active faults. Does no I/O. */
public final class Links {
    private final Parties parties;
    private final Layout layout;
    private final List<LinkFault> now = new ArrayList<>();

    /** Starts without faults, with only the latency between zones. */
    public Links(FleetSpec spec) {
        parties = new Parties(spec);
        layout = spec.layout();
    }

    /** Activates a fault. */
    public void begin(LinkFault fault) {
        now.add(fault);
    }

    /** Deactivates a fault; no-op if it is not active. */
    public void end(LinkFault fault) {
        now.remove(fault);
    }

    /** The current conditions of the link from a sender to a receiver. */
    public LinkConditions way(String sender, String receiver) {
        int a = parties.zone(sender);
        int b = parties.zone(receiver);
        LinkConditions way = LinkConditions.slow(a >= 0 && b >= 0 && a != b ? layout.betweenMs() : 0);
        for (LinkFault f : now) {
            if (f.concerns(sender, receiver)) {
                way = way.and(f.way());
            }
        }
        return way;
    }
}

package cacheproxy.emulator;

import java.util.ArrayList;
import java.util.List;

/** The ways between the parts of a fleet, with the faults that hold now. Does no I/O. */
public final class Links {
    private final Parties parties;
    private final Layout layout;
    private final List<LinkFault> now = new ArrayList<>();

    /** Without faults: only what lies between zones. */
    public Links(FleetSpec spec) {
        parties = new Parties(spec);
        layout = spec.layout();
    }

    /** A fault begins. */
    public void begin(LinkFault fault) {
        now.add(fault);
    }

    /** A fault is over; nothing happens if it had not begun. */
    public void end(LinkFault fault) {
        now.remove(fault);
    }

    /** What happens now to what one part sends to another. */
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

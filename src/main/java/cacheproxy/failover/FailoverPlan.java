package cacheproxy.failover;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What is decided of all zones; immutable. Plans form a join semilattice, zone by zone: instances that have heard the
 * same hold the same plan, in whatever order they heard it, so a healed partition merges to one plan. What two sides of
 * a partition decided may together close more than either would have; so what holds is not a zone's own state but
 * {@link #trafficParts}, which keeps a minimum of all zones together open. In a note of the view, 4 bytes for each zone
 * ({@link ZoneState#encode}).
 *
 * @param zones their states, by zone
 */
public record FailoverPlan(List<ZoneState> zones) {
    /** The zones that fit into a note. */
    public static final int MAX_ZONES = 6;
    /** Of all zones together, one part in so many stays open whatever was decided. */
    private static final int MIN_OPEN_DIVISOR = 3;

    private static final int ZONE_BYTES = 4;

    /** Checks the number. */
    public FailoverPlan {
        zones = List.copyOf(zones);
        if (zones.isEmpty() || zones.size() > MAX_ZONES) {
            throw new IllegalArgumentException("a plan of " + zones.size() + " zones, expected 1 to " + MAX_ZONES);
        }
    }

    /** The plan of so many zones of which nothing is decided. */
    public static FailoverPlan initial(int zones) {
        return new FailoverPlan(Collections.nCopies(zones, ZoneState.INITIAL));
    }

    /** The state of a zone, as decided. */
    public ZoneState stateOf(int zone) {
        return zones.get(zone);
    }

    /** This plan with another state of one zone. */
    public FailoverPlan with(int zone, ZoneState state) {
        List<ZoneState> all = new ArrayList<>(zones);
        all.set(zone, state);
        return new FailoverPlan(all);
    }

    /** The join of both; this itself if the other adds nothing. Zones that only the other has are left out. */
    public FailoverPlan join(FailoverPlan other) {
        List<ZoneState> all = new ArrayList<>(zones);
        boolean more = false;
        for (int z = 0; z < Math.min(zones.size(), other.zones.size()); z++) {
            if (other.zones.get(z).compareTo(zones.get(z)) > 0) {
                all.set(z, other.zones.get(z));
                more = true;
            }
        }
        return more ? new FailoverPlan(all) : this;
    }

    /** Whether the minimum of all zones together would stay open if a zone had only so many parts open. */
    public boolean allowsTrafficParts(int zone, int parts) {
        return zones.stream().mapToInt(ZoneState::trafficParts).sum()
                        - zones.get(zone).trafficParts()
                        + parts
                >= minTrafficParts();
    }

    /**
     * The state of a zone with so many parts open, or as many more as the minimum of all zones asks for; null if it has
     * no more open now.
     */
    public ZoneState reducedState(int zone, int parts, int leaves) {
        ZoneState s = zones.get(zone);
        for (int open = parts; open < s.trafficParts(); open++) {
            if (allowsTrafficParts(zone, open)) {
                return s.next(open, ZoneState.Cause.EVIDENCE, leaves);
            }
        }
        return null;
    }

    private int minTrafficParts() {
        return (zones.size() * ZoneState.ALL_PARTS + MIN_OPEN_DIVISOR - 1) / MIN_OPEN_DIVISOR;
    }

    /**
     * How far a zone is open, in parts of {@link ZoneState#ALL_PARTS}: as decided, but that a third of all zones
     * together stays open. Where less would, zones are opened in the order of their numbers, the same at all that hold
     * the plan, until it does; so the last zone is never left.
     */
    public int trafficParts(int zone) {
        int missing = minTrafficParts()
                - zones.stream().mapToInt(ZoneState::trafficParts).sum();
        for (int z = 0; z <= zone; z++) {
            int more = Math.max(
                    0, Math.min(missing, ZoneState.ALL_PARTS - zones.get(z).trafficParts()));
            if (z == zone) {
                return zones.get(z).trafficParts() + more;
            }
            missing -= more;
        }
        return zones.get(zone).trafficParts();
    }

    /** Whether anything was ever decided. */
    public boolean hasDecisions() {
        return zones.stream().anyMatch(s -> s.epoch() > 0);
    }

    /** The note; no bytes if nothing was ever decided. */
    byte[] encode() {
        if (!hasDecisions()) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(ZONE_BYTES * zones.size());
        zones.forEach(s -> out.putInt(s.encode()));
        return out.array();
    }

    /** The plan in a note, of so many zones; nothing is decided if the note has another length. */
    static FailoverPlan decode(byte[] note, int zones) {
        if (note.length != ZONE_BYTES * zones) {
            return initial(zones);
        }
        ByteBuffer in = ByteBuffer.wrap(note);
        List<ZoneState> all = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            all.add(ZoneState.decode(in.getInt()));
        }
        return new FailoverPlan(all);
    }
}

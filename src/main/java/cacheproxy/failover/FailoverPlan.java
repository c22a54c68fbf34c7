package cacheproxy.failover;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The decisions on all zones; immutable. Plans form a join semilattice, zone by zone: instances that have received the
 * same plans hold the same plan, in whatever order they received them, so a healed partition converges to one plan. The
 * decisions of the two sides of a partition may together close more zones than either side would have closed alone. The
 * effective traffic of a zone is therefore not read from its own state but from {@link #trafficParts}, which keeps a
 * minimum of all zones together open. Encoded as member metadata with 4 bytes for each zone ({@link ZoneState#encode}).
 *
 * @param zones the zones' states, by zone
 */
public record FailoverPlan(List<ZoneState> zones) {
    /** The number of zones that fit into one metadata value. */
    public static final int MAX_ZONES = 6;
    /** The part of all zones together that stays open, whatever was decided, is one divided by this number. */
    private static final int MIN_OPEN_DIVISOR = 3;

    private static final int ZONE_BYTES = 4;

    /** Checks the number of zones. */
    public FailoverPlan {
        zones = List.copyOf(zones);
        if (zones.isEmpty() || zones.size() > MAX_ZONES) {
            throw new IllegalArgumentException("zone count " + zones.size() + ", expected 1 to " + MAX_ZONES);
        }
    }

    /** The plan of this many zones before any decision. */
    public static FailoverPlan initial(int zones) {
        return new FailoverPlan(Collections.nCopies(zones, ZoneState.INITIAL));
    }

    /** The decided state of a zone. */
    public ZoneState stateOf(int zone) {
        return zones.get(zone);
    }

    /** This plan with the state of one zone replaced. */
    public FailoverPlan with(int zone, ZoneState state) {
        List<ZoneState> all = new ArrayList<>(zones);
        all.set(zone, state);
        return new FailoverPlan(all);
    }

    /**
     * The join of both plans; this plan itself if the other adds nothing. Zones that only the other plan has are
     * ignored.
     */
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

    /** Whether the minimum of all zones together would still be open if a zone had only this many parts open. */
    public boolean allowsTrafficParts(int zone, int parts) {
        return zones.stream().mapToInt(ZoneState::trafficParts).sum()
                        - zones.get(zone).trafficParts()
                        + parts
                >= minTrafficParts();
    }

    /**
     * The next state of a zone with this many parts open, or with as many more as the minimum of all zones requires;
     * null if that does not reduce the parts that are open.
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
     * How far a zone is open, in parts of {@link ZoneState#ALL_PARTS}: as decided, except that a third of all zones
     * together stays open. Where less would be open, zones are opened in the order of their numbers until it is a
     * third. That order is the same at all instances that hold the plan. As a result, the last zone is never closed.
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

    /** Whether any decision was ever made. */
    public boolean hasDecisions() {
        return zones.stream().anyMatch(s -> s.epoch() > 0);
    }

    /** The plan as metadata; empty if no decision was ever made. */
    byte[] encode() {
        if (!hasDecisions()) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(ZONE_BYTES * zones.size());
        zones.forEach(s -> out.putInt(s.encode()));
        return out.array();
    }

    /** Decodes the metadata of a plan of this many zones; the plan before any decision if the length does not match. */
    static FailoverPlan decode(byte[] metadata, int zones) {
        if (metadata.length != ZONE_BYTES * zones) {
            return initial(zones);
        }
        ByteBuffer in = ByteBuffer.wrap(metadata);
        List<ZoneState> all = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            all.add(ZoneState.decode(in.getInt()));
        }
        return new FailoverPlan(all);
    }
}

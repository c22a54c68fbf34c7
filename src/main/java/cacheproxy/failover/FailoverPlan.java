package cacheproxy.failover;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What is decided of all zones; immutable. Plans form a join semilattice, zone by zone: who have heard the same hold
 * the same, in whatever order they heard it, so a healed cut merges to one plan. What two sides of a cut decided may
 * together be more than either would have left; so what holds is not a zone's own state but {@link #openParts}, which
 * keeps a floor open.
 *
 * @param zones their states, by zone
 */
public record FailoverPlan(List<ZoneState> zones) {
    /** Zones that fit in a note. */
    public static final int MAX_ZONES = 6;
    /**
     * Of all zones together, so much stays open whatever was decided, in parts of {@link ZoneState#ALL_PARTS}: a third.
     */
    private static final int MIN_OPEN_FRACTION = 3;

    private static final int ZONE_BYTES = 4;

    /** Checks the number. */
    public FailoverPlan {
        zones = List.copyOf(zones);
        if (zones.isEmpty() || zones.size() > MAX_ZONES) {
            throw new IllegalArgumentException("a plan of " + zones.size() + " zones; it takes 1 to " + MAX_ZONES);
        }
    }

    /** Of so many zones nothing is decided. */
    public static FailoverPlan initial(int zones) {
        return new FailoverPlan(Collections.nCopies(zones, ZoneState.INITIAL));
    }

    /** What is decided of a zone. */
    public ZoneState stateOf(int zone) {
        return zones.get(zone);
    }

    /** The same but for one zone. */
    public FailoverPlan with(int zone, ZoneState state) {
        List<ZoneState> all = new ArrayList<>(zones);
        all.set(zone, state);
        return new FailoverPlan(all);
    }

    /** Both as one; this itself if the other adds nothing. Zones that only the other knows are left out. */
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

    /** Whether a zone could be closed as far as this and the floor still held. */
    public boolean allowsOpenParts(int zone, int parts) {
        return zones.stream().mapToInt(ZoneState::openParts).sum()
                        - zones.get(zone).openParts()
                        + parts
                >= minOpenParts();
    }

    /**
     * The state that leaves a zone down to so many parts, or to as many more as the floor asks for; null if that is no
     * less.
     */
    public ZoneState lowered(int zone, int parts, int leaves) {
        ZoneState s = zones.get(zone);
        for (int open = parts; open < s.openParts(); open++) {
            if (allowsOpenParts(zone, open)) {
                return s.next(open, ZoneState.Cause.EVIDENCE, leaves);
            }
        }
        return null;
    }

    private int minOpenParts() {
        return (zones.size() * ZoneState.ALL_PARTS + MIN_OPEN_FRACTION - 1) / MIN_OPEN_FRACTION;
    }

    /**
     * How far a zone is open, in parts of {@link ZoneState#ALL_PARTS}: as decided, but that a third of all zones
     * together stays open. Where less would be, the zones are opened in the order of their numbers, the same at all who
     * hold the plan, until it is reached. So the last zone is never left.
     */
    public int openParts(int zone) {
        int missing =
                minOpenParts() - zones.stream().mapToInt(ZoneState::openParts).sum();
        for (int z = 0; z <= zone; z++) {
            int more = Math.max(
                    0, Math.min(missing, ZoneState.ALL_PARTS - zones.get(z).openParts()));
            if (z == zone) {
                return zones.get(z).openParts() + more;
            }
            missing -= more;
        }
        return zones.get(zone).openParts();
    }

    /** Whether anything was ever decided. */
    public boolean hasDecisions() {
        return zones.stream().anyMatch(s -> s.epoch() > 0);
    }

    /** The form in a note: four bytes a zone, none if nothing was ever decided. */
    byte[] encode() {
        if (!hasDecisions()) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(ZONE_BYTES * zones.size());
        zones.forEach(s -> out.putInt(s.bits()));
        return out.array();
    }

    /** The plan in a note, of so many zones; nothing decided where the note has another length. */
    static FailoverPlan decode(byte[] note, int zones) {
        if (note.length != ZONE_BYTES * zones) {
            return initial(zones);
        }
        ByteBuffer in = ByteBuffer.wrap(note);
        List<ZoneState> all = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            all.add(ZoneState.of(in.getInt()));
        }
        return new FailoverPlan(all);
    }
}

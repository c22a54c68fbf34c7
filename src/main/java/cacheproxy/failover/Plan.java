package cacheproxy.failover;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What is decided of all zones; immutable. Plans form a join semilattice, zone by zone: who have heard the same hold
 * the same, in whatever order they heard it, so a healed cut merges to one plan. What two sides of a cut decided may
 * together be more than either would have left; so what holds is not a zone's own state but {@link #open}, which keeps
 * a floor open.
 *
 * @param zones their states, by zone
 */
public record Plan(List<ZoneState> zones) {
    /** Zones that fit in a note. */
    public static final int MOST_ZONES = 6;
    /** Of all zones together, so much stays open whatever was decided, in parts of {@link ZoneState#WHOLE}: a third. */
    private static final int FLOOR_PART = 3;

    private static final int ZONE_BYTES = 4;

    /** Checks the number. */
    public Plan {
        zones = List.copyOf(zones);
        if (zones.isEmpty() || zones.size() > MOST_ZONES) {
            throw new IllegalArgumentException("a plan of " + zones.size() + " zones; it takes 1 to " + MOST_ZONES);
        }
    }

    /** Of so many zones nothing is decided. */
    public static Plan untouched(int zones) {
        return new Plan(Collections.nCopies(zones, ZoneState.UNTOUCHED));
    }

    /** What is decided of a zone. */
    public ZoneState of(int zone) {
        return zones.get(zone);
    }

    /** The same but for one zone. */
    public Plan with(int zone, ZoneState state) {
        List<ZoneState> all = new ArrayList<>(zones);
        all.set(zone, state);
        return new Plan(all);
    }

    /** Both as one; this itself if the other adds nothing. Zones that only the other knows are left out. */
    public Plan join(Plan other) {
        List<ZoneState> all = new ArrayList<>(zones);
        boolean more = false;
        for (int z = 0; z < Math.min(zones.size(), other.zones.size()); z++) {
            if (other.zones.get(z).compareTo(zones.get(z)) > 0) {
                all.set(z, other.zones.get(z));
                more = true;
            }
        }
        return more ? new Plan(all) : this;
    }

    /** Whether a zone could be closed as far as this and the floor still held. */
    public boolean bears(int zone, int parts) {
        return zones.stream().mapToInt(ZoneState::open).sum() - zones.get(zone).open() + parts >= floor();
    }

    /**
     * The state that leaves a zone down to so many parts, or to as many more as the floor asks for; null if that is no
     * less.
     */
    public ZoneState lowered(int zone, int parts, int leaves) {
        ZoneState s = zones.get(zone);
        for (int open = parts; open < s.open(); open++) {
            if (bears(zone, open)) {
                return s.next(open, ZoneState.Cause.EVIDENCE, leaves);
            }
        }
        return null;
    }

    private int floor() {
        return (zones.size() * ZoneState.WHOLE + FLOOR_PART - 1) / FLOOR_PART;
    }

    /**
     * How far a zone is open, in parts of {@link ZoneState#WHOLE}: as decided, but that a third of all zones together
     * stays open. Where less would be, the zones are opened in the order of their numbers, the same at all who hold the
     * plan, until it is reached. So the last zone is never left.
     */
    public int open(int zone) {
        int missing = floor() - zones.stream().mapToInt(ZoneState::open).sum();
        for (int z = 0; z <= zone; z++) {
            int more =
                    Math.max(0, Math.min(missing, ZoneState.WHOLE - zones.get(z).open()));
            if (z == zone) {
                return zones.get(z).open() + more;
            }
            missing -= more;
        }
        return zones.get(zone).open();
    }

    /** Whether anything was ever decided. */
    public boolean touched() {
        return zones.stream().anyMatch(s -> s.epoch() > 0);
    }

    /** The form in a note: four bytes a zone, none if nothing was ever decided. */
    byte[] encode() {
        if (!touched()) {
            return new byte[0];
        }
        ByteBuffer out = ByteBuffer.allocate(ZONE_BYTES * zones.size());
        zones.forEach(s -> out.putInt(s.bits()));
        return out.array();
    }

    /** The plan in a note, of so many zones; nothing decided where the note has another length. */
    static Plan decode(byte[] note, int zones) {
        if (note.length != ZONE_BYTES * zones) {
            return untouched(zones);
        }
        ByteBuffer in = ByteBuffer.wrap(note);
        List<ZoneState> all = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            all.add(ZoneState.of(in.getInt()));
        }
        return new Plan(all);
    }
}

package cacheproxy.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What one live instance reports of the zones. In a note of the view, 3 bytes: bit 0 the origin is saturated, then for
 * each zone 3 bits: its nodes are cold (1), its {@link ZoneHealth} (2); no bytes where there is nothing to report.
 *
 * @param instance its number
 * @param homeZone the zone in which it stands
 * @param health of the zones, by number
 * @param coldZones zones whose nodes respond to it and lack most of what is requested
 * @param originSaturated whether the origin responds to it late or rejects its fetches
 * @param plan that it holds
 */
public record ZoneHealthReport(
        int instance,
        int homeZone,
        List<ZoneHealth> health,
        Set<Integer> coldZones,
        boolean originSaturated,
        FailoverPlan plan) {
    private static final int NOTE_BYTES = 3;

    /** Copies what is passed. */
    public ZoneHealthReport {
        health = List.copyOf(health);
        coldZones = Set.copyOf(coldZones);
    }

    /** What it sees of a zone. */
    ZoneHealth healthOf(int zone) {
        return zone < health.size() ? health.get(zone) : ZoneHealth.UNKNOWN;
    }

    /**
     * Whether it sees no healthy zone but, perhaps, its own: it is cut off itself then, or lies, and does not count for
     * other zones.
     */
    boolean isPartitioned() {
        boolean faulty = false;
        for (int z = 0; z < health.size(); z++) {
            if (z != homeZone && health.get(z) == ZoneHealth.HEALTHY) {
                return false;
            }
            faulty |= z != homeZone && health.get(z).isFaulty();
        }
        return faulty && health.size() > 2;
    }

    /** The note. */
    static byte[] encode(List<ZoneHealth> health, Set<Integer> coldZones, boolean originSaturated) {
        int bits = originSaturated ? 1 : 0;
        for (int z = 0; z < health.size(); z++) {
            bits |= (health.get(z).code() << 1 | (coldZones.contains(z) ? 1 : 0)) << (3 * z + 1);
        }
        return bits == 0 ? new byte[0] : new byte[] {(byte) (bits >> 16), (byte) (bits >> 8), (byte) bits};
    }

    /** The report in an instance's notes; a note of another length reports nothing. */
    static ZoneHealthReport decode(int instance, int homeZone, byte[] note, byte[] planMetadata, int zones) {
        List<ZoneHealth> health = new ArrayList<>();
        Set<Integer> coldZones = new HashSet<>();
        int bits = note.length == NOTE_BYTES ? (note[0] & 0xff) << 16 | (note[1] & 0xff) << 8 | (note[2] & 0xff) : 0;
        for (int z = 0; z < zones; z++) {
            health.add(ZoneHealth.of(bits >> (3 * z + 2)));
            if ((bits >> (3 * z + 1) & 1) != 0) {
                coldZones.add(z);
            }
        }
        return new ZoneHealthReport(
                instance, homeZone, health, coldZones, (bits & 1) != 0, FailoverPlan.decode(planMetadata, zones));
    }
}

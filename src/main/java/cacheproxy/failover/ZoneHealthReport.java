package cacheproxy.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What one live instance reports on the zones. Encoded as member metadata in 3 bytes: bit 0 is set if the origin is
 * saturated, followed by 3 bits for each zone: whether its nodes are cold (1), and its {@link ZoneHealth} (2). Empty if
 * there is nothing to report.
 *
 * @param instance the instance's number
 * @param homeZone the instance's zone
 * @param health of the zones, by number
 * @param coldZones zones whose nodes respond to the instance but miss at least half of its requests
 * @param originSaturated whether the origin responds late to the instance or rejects its fetches
 * @param plan the plan that the instance holds
 */
public record ZoneHealthReport(
        int instance,
        int homeZone,
        List<ZoneHealth> health,
        Set<Integer> coldZones,
        boolean originSaturated,
        FailoverPlan plan) {
    private static final int METADATA_BYTES = 3;

    /** Copies the collections. */
    public ZoneHealthReport {
        health = List.copyOf(health);
        coldZones = Set.copyOf(coldZones);
    }

    /** The health of a zone as reported. */
    ZoneHealth healthOf(int zone) {
        return zone < health.size() ? health.get(zone) : ZoneHealth.UNKNOWN;
    }

    /**
     * Whether it finds another zone faulty and none healthy except, perhaps, its own: the instance is then cut off
     * itself, or reports wrongly, and its report does not count for other zones. Never true with fewer than three
     * zones.
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

    /** Encodes a report as metadata. */
    static byte[] encode(List<ZoneHealth> health, Set<Integer> coldZones, boolean originSaturated) {
        int bits = originSaturated ? 1 : 0;
        for (int z = 0; z < health.size(); z++) {
            bits |= (health.get(z).code() << 1 | (coldZones.contains(z) ? 1 : 0)) << (3 * z + 1);
        }
        return bits == 0 ? new byte[0] : new byte[] {(byte) (bits >> 16), (byte) (bits >> 8), (byte) bits};
    }

    /** Decodes the report in an instance's metadata; metadata of another length reports nothing. */
    static ZoneHealthReport decode(int instance, int homeZone, byte[] metadata, byte[] planMetadata, int zones) {
        List<ZoneHealth> health = new ArrayList<>();
        Set<Integer> coldZones = new HashSet<>();
        int bits = metadata.length == METADATA_BYTES
                ? (metadata[0] & 0xff) << 16 | (metadata[1] & 0xff) << 8 | (metadata[2] & 0xff)
                : 0;
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

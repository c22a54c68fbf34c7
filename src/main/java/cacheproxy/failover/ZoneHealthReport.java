package cacheproxy.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What one instance that lives says of the zones.
 *
 * @param instance whose it is
 * @param homeZone the zone in which it stands
 * @param health by zone
 * @param coldZones zones whose nodes answer it and lack most of what they are asked for
 * @param originSaturated whether the origin answers it late or turns it away
 * @param plan that it holds
 */
public record ZoneHealthReport(
        int instance,
        int homeZone,
        List<ZoneHealth> health,
        Set<Integer> coldZones,
        boolean originSaturated,
        FailoverPlan plan) {
    private static final int BYTES = 3;

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
     * Whether it sees nothing good but, perhaps, at home: then it is cut off itself, or lies, and says nothing of
     * others.
     */
    boolean isPartitioned() {
        boolean bad = false;
        for (int z = 0; z < health.size(); z++) {
            if (z != homeZone && health.get(z) == ZoneHealth.HEALTHY) {
                return false;
            }
            bad |= z != homeZone && health.get(z).isFaulty();
        }
        return bad && health.size() > 2;
    }

    /**
     * The form of what was seen in a note: a bit for the origin and three a zone; none where there is nothing to say.
     */
    static byte[] encode(List<ZoneHealth> sights, Set<Integer> cold, boolean originTight) {
        int bits = originTight ? 1 : 0;
        for (int z = 0; z < sights.size(); z++) {
            bits |= (sights.get(z).code() << 1 | (cold.contains(z) ? 1 : 0)) << (3 * z + 1);
        }
        return bits == 0 ? new byte[0] : new byte[] {(byte) (bits >> 16), (byte) (bits >> 8), (byte) bits};
    }

    /** The report in an instance's notes; a note of another length says nothing. */
    static ZoneHealthReport decode(int instance, int home, byte[] seen, byte[] plan, int zones) {
        List<ZoneHealth> sights = new ArrayList<>();
        Set<Integer> cold = new HashSet<>();
        int bits = seen.length == BYTES ? (seen[0] & 0xff) << 16 | (seen[1] & 0xff) << 8 | (seen[2] & 0xff) : 0;
        for (int z = 0; z < zones; z++) {
            sights.add(ZoneHealth.of(bits >> (3 * z + 2)));
            if ((bits >> (3 * z + 1) & 1) != 0) {
                cold.add(z);
            }
        }
        return new ZoneHealthReport(instance, home, sights, cold, (bits & 1) != 0, FailoverPlan.decode(plan, zones));
    }
}

package cacheproxy.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What one instance that lives says of the zones.
 *
 * @param instance whose it is
 * @param home the zone in which it stands
 * @param sights by zone
 * @param cold zones whose nodes answer it and lack most of what they are asked for
 * @param originTight whether the origin answers it late or turns it away
 * @param plan that it holds
 */
public record Report(int instance, int home, List<Sight> sights, Set<Integer> cold, boolean originTight, Plan plan) {
    private static final int BYTES = 3;

    /** Copies what is passed. */
    public Report {
        sights = List.copyOf(sights);
        cold = Set.copyOf(cold);
    }

    /** What it sees of a zone. */
    Sight sight(int zone) {
        return zone < sights.size() ? sights.get(zone) : Sight.NONE;
    }

    /**
     * Whether it sees nothing good but, perhaps, at home: then it is cut off itself, or lies, and says nothing of
     * others.
     */
    boolean cutOff() {
        boolean bad = false;
        for (int z = 0; z < sights.size(); z++) {
            if (z != home && sights.get(z) == Sight.GOOD) {
                return false;
            }
            bad |= z != home && sights.get(z).bad();
        }
        return bad && sights.size() > 2;
    }

    /**
     * The form of what was seen in a note: a bit for the origin and three a zone; none where there is nothing to say.
     */
    static byte[] encode(List<Sight> sights, Set<Integer> cold, boolean originTight) {
        int bits = originTight ? 1 : 0;
        for (int z = 0; z < sights.size(); z++) {
            bits |= (sights.get(z).code() << 1 | (cold.contains(z) ? 1 : 0)) << (3 * z + 1);
        }
        return bits == 0 ? new byte[0] : new byte[] {(byte) (bits >> 16), (byte) (bits >> 8), (byte) bits};
    }

    /** The report in an instance's notes; a note of another length says nothing. */
    static Report decode(int instance, int home, byte[] seen, byte[] plan, int zones) {
        List<Sight> sights = new ArrayList<>();
        Set<Integer> cold = new HashSet<>();
        int bits = seen.length == BYTES ? (seen[0] & 0xff) << 16 | (seen[1] & 0xff) << 8 | (seen[2] & 0xff) : 0;
        for (int z = 0; z < zones; z++) {
            sights.add(Sight.of(bits >> (3 * z + 2)));
            if ((bits >> (3 * z + 1) & 1) != 0) {
                cold.add(z);
            }
        }
        return new Report(instance, home, sights, cold, (bits & 1) != 0, Plan.decode(plan, zones));
    }
}

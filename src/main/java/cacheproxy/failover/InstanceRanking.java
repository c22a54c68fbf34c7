package cacheproxy.failover;

import cacheproxy.membership.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The order in which live instances act for a zone: the same at all instances, and a different one for each zone. It
 * replaces a leader, so there is no leader that could fail.
 */
final class InstanceRanking {
    /** The number of instances that probe a zone that is not fully open. */
    private static final int PROBERS = 3;
    /** Spreads the zones' numbers over all bits: 2 to the power of 64 divided by the golden ratio. */
    private static final long ZONE_FACTOR = 0x9e37_79b9_7f4a_7c15L;

    private InstanceRanking() {}

    private static long key(int zone, int instance) {
        return Member.mix(instance ^ zone * ZONE_FACTOR);
    }

    /** How many of the reporting instances rank before an instance. */
    static int rank(int zone, int instance, List<ZoneHealthReport> reports) {
        long own = key(zone, instance);
        int before = 0;
        for (ZoneHealthReport r : reports) {
            before += key(zone, r.instance()) < own ? 1 : 0;
        }
        return before;
    }

    /**
     * Whether an instance is one of a zone's probers. The probers come from as many zones as possible; instances in the
     * probed zone itself are chosen last.
     */
    static boolean isProber(int zone, int instance, List<ZoneHealthReport> reports) {
        List<ZoneHealthReport> ranked = new ArrayList<>(reports);
        ranked.sort(Comparator.comparingLong(r -> key(zone, r.instance())));
        Set<Integer> probers = new HashSet<>();
        Set<Integer> homeZones = new HashSet<>(Set.of(zone));
        for (int round = 0; round < 2; round++) {
            for (ZoneHealthReport r : ranked) {
                if (probers.size() < PROBERS
                        && !probers.contains(r.instance())
                        && (homeZones.add(r.homeZone()) || round > 0)) {
                    probers.add(r.instance());
                }
            }
        }
        return probers.contains(instance);
    }
}

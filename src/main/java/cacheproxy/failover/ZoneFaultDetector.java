package cacheproxy.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Comes to a verdict on each zone by the reports of all live instances. A verdict against a zone takes observers in
 * more than half of the zones in which the fleet has instances, each of these zones counting by the majority of those
 * in it that have observed anything, and {@link #MIN_OBSERVERS} observers in all. So
 *
 * <ul>
 *   <li>a path cut between two zones is reported by the observers of one zone of several: nothing follows, and each of
 *       them keeps to its own evidence;
 *   <li>observers in a zone that is cut off hear no others and have too few zones; when they are heard again, a report
 *       without a healthy zone but their own does not count;
 *   <li>one or two bad nodes do not speak against their zone ({@link ZoneHealthMonitor});
 *   <li>where all nodes are slow, or the origin is, no zone is {@link ZoneCondition#DEGRADED}: that takes others that
 *       are healthy;
 *   <li>one or two instances that report wrongly are not the majority of any zone of three, and not three.
 * </ul>
 *
 * <p>Immutable; for one moment.
 */
final class ZoneFaultDetector {
    /** A verdict takes so many observers, or all live instances if they are fewer. */
    static final int MIN_OBSERVERS = 3;
    /** A zone is healthy again when so many of its probers say so. */
    static final int MIN_HEALTHY_OBSERVERS = 2;

    /** What all live instances together say of a zone. */
    enum ZoneCondition {
        /** Too few report it, or they do not agree. */
        UNCERTAIN("unsure"),
        /** Those that observe it get responses. */
        HEALTHY("sound"),
        /** Observers in most zones see a good part of it fail, while other zones are healthy. */
        DEGRADED("poor"),
        /** Observers in most zones get no response from it. */
        UNREACHABLE("lost");

        private final String displayName;

        ZoneCondition(String displayName) {
            this.displayName = displayName;
        }

        /** Its name in operators' answers and the log. */
        String displayName() {
            return displayName;
        }
    }

    private final List<ZoneHealthReport> reports;
    private final Set<Integer> homeZones;

    /**
     * By the reports of those that live.
     *
     * @param homeZones the zones in which the fleet has instances, whether they live or not
     */
    ZoneFaultDetector(List<ZoneHealthReport> reports, Set<Integer> homeZones) {
        this.reports = reports;
        this.homeZones = homeZones;
    }

    /** Whether enough of the fleet is heard to decide for it: instances in more than half of its zones. */
    boolean hasQuorum() {
        Set<Integer> heard = new HashSet<>();
        reports.forEach(r -> heard.add(r.homeZone()));
        heard.retainAll(homeZones);
        return 2 * heard.size() > homeZones.size();
    }

    /** The verdict on a zone. */
    ZoneCondition verdict(int zone) {
        if (isReportedAtLeast(zone, ZoneHealth.UNREACHABLE)) {
            return ZoneCondition.UNREACHABLE;
        }
        if (isReportedAtLeast(zone, ZoneHealth.DEGRADED) && otherZonesAreHealthy(zone)) {
            return ZoneCondition.DEGRADED;
        }
        return isHealthy(zone) ? ZoneCondition.HEALTHY : ZoneCondition.UNCERTAIN;
    }

    /** Whether enough observers, in enough zones, see a zone at least that bad. */
    private boolean isReportedAtLeast(int zone, ZoneHealth threshold) {
        Map<Integer, Integer> majorities = new HashMap<>();
        Map<Integer, Integer> faultyByZone = new HashMap<>();
        int observers = 0;
        for (ZoneHealthReport r : reports) {
            ZoneHealth health = r.healthOf(zone);
            if (health == ZoneHealth.UNKNOWN || r.isPartitioned()) {
                continue;
            }
            boolean faulty = health.compareTo(threshold) >= 0;
            majorities.merge(r.homeZone(), faulty ? 1 : -1, Integer::sum);
            faultyByZone.merge(r.homeZone(), faulty ? 1 : 0, Integer::sum);
        }
        int zonesAgainst = 0;
        for (Map.Entry<Integer, Integer> vote : majorities.entrySet()) {
            if (vote.getValue() > 0) {
                zonesAgainst++;
                observers += faultyByZone.get(vote.getKey());
            }
        }
        return 2 * zonesAgainst > homeZones.size() && observers >= Math.min(MIN_OBSERVERS, reports.size());
    }

    /** Whether reports of other zones find them healthy more than twice as often as at fault. */
    private boolean otherZonesAreHealthy(int zone) {
        int healthy = 0;
        int faulty = 0;
        for (ZoneHealthReport r : reports) {
            for (int z = 0; z < r.health().size(); z++) {
                if (z != zone && !r.isPartitioned()) {
                    healthy += r.healthOf(z) == ZoneHealth.HEALTHY ? 1 : 0;
                    faulty += r.healthOf(z).isFaulty() ? 1 : 0;
                }
            }
        }
        return healthy > 2 * faulty;
    }

    /** By observers elsewhere, if there are any: from within the zone its nodes may be reached all the while. */
    private boolean isHealthy(int zone) {
        int healthy = 0;
        int faulty = 0;
        int observers = 0;
        for (ZoneHealthReport r : reports) {
            if (r.homeZone() != zone || homeZones.size() == 1) {
                observers++;
                healthy += r.healthOf(zone) == ZoneHealth.HEALTHY ? 1 : 0;
                faulty += r.healthOf(zone).isFaulty() && !r.isPartitioned() ? 1 : 0;
            }
        }
        return healthy >= Math.max(1, Math.min(MIN_HEALTHY_OBSERVERS, observers)) && healthy > 2 * faulty;
    }

    /** Whether an observer that gets responses from a zone finds that its nodes have lost their caches. */
    boolean isCold(int zone) {
        return reports.stream().anyMatch(r -> r.coldZones().contains(zone) && r.healthOf(zone) == ZoneHealth.HEALTHY);
    }

    /** Whether a quarter of the live instances find the origin saturated. */
    boolean isOriginSaturated() {
        return 4 * reports.stream().filter(ZoneHealthReport::originSaturated).count() >= Math.max(1, reports.size());
    }
}

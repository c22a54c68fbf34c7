package cacheproxy.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reaches a verdict on each zone from the reports of all live instances. A verdict against a zone requires observers in
 * more than half of the zones in which the fleet has instances, and {@link #MIN_OBSERVERS} observers in total. Each of
 * these zones counts by the majority of its instances that have observed the faulty zone. As a result,
 *
 * <ul>
 *   <li>a cut path between two zones is reported by the observers of only one of several zones: no verdict follows, and
 *       each of these observers relies on its own observations;
 *   <li>observers in a zone that is cut off hear no other instances and have too few zones; when they are heard again,
 *       a report that finds no healthy zone except its own does not count;
 *   <li>one or two faulty nodes are no evidence against their zone ({@link ZoneHealthMonitor});
 *   <li>if all nodes are slow, or the origin is, no zone is {@link ZoneCondition#DEGRADED}: that requires other zones
 *       to be healthy;
 *   <li>one or two instances that report wrongly are not the majority of a zone of three instances, and fewer than
 *       three observers.
 * </ul>
 *
 * <p>Immutable; evaluates one moment.
 */
final class ZoneFaultDetector {
    /** The number of observers that a verdict against a zone requires; all live instances if they are fewer. */
    static final int MIN_OBSERVERS = 3;
    /** The number of probers that have to find a zone healthy before it counts as healthy again. */
    static final int MIN_HEALTHY_OBSERVERS = 2;

    /** The verdict of all live instances together on a zone. */
    enum ZoneCondition {
        /** Too few instances report on it, or their reports disagree. */
        UNCERTAIN("unsure"),
        /** Its observers receive responses. */
        HEALTHY("sound"),
        /** Observers in most zones see a considerable part of attempts fail, while other zones are healthy. */
        DEGRADED("poor"),
        /** Observers in most zones receive no response from it. */
        UNREACHABLE("lost");

        private final String displayName;

        ZoneCondition(String displayName) {
            this.displayName = displayName;
        }

        /** Its name in answers to operators and in the log. */
        String displayName() {
            return displayName;
        }
    }

    private final List<ZoneHealthReport> reports;
    private final Set<Integer> homeZones;

    /**
     * Evaluates the reports of all live instances.
     *
     * @param homeZones the zones in which the fleet has instances, live or not
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

    /** Whether enough observers in enough zones report a health at least as bad as the threshold. */
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

    /** Whether reports on other zones find them healthy more than twice as often as faulty. */
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

    /**
     * Judged by observers in other zones, if there are any: from within the zone its nodes may have been reachable
     * throughout the fault.
     */
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

    /** Whether an observer that receives responses from a zone finds that its nodes have lost their caches. */
    boolean isCold(int zone) {
        return reports.stream().anyMatch(r -> r.coldZones().contains(zone) && r.healthOf(zone) == ZoneHealth.HEALTHY);
    }

    /** Whether at least a quarter of the live instances find the origin saturated. */
    boolean isOriginSaturated() {
        return 4 * reports.stream().filter(ZoneHealthReport::originSaturated).count() >= Math.max(1, reports.size());
    }
}

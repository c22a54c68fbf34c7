package cacheproxy.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells by what all that live say of a zone which case it is. A verdict against a zone takes observers that stand in
 * more than half of the zones in which the fleet has instances, each zone speaking by most of those in it that have
 * seen anything, and three of them at least. So
 *
 * <ul>
 *   <li>the way from one zone to another is cut: only its own observers speak against it, one zone of several: nothing
 *       follows, and each of them keeps to its own evidence;
 *   <li>an observer's own zone is cut off: it hears no others, so it has not enough zones; when it is heard again, a
 *       report in which nothing but home is good does not count;
 *   <li>one bad node, or two, speak against no zone ({@link ZoneHealthMonitor});
 *   <li>all nodes are slow now and then, or the origin is: a zone is only {@link Verdict#DEGRADED} beside others that
 *       are good;
 *   <li>one that lies, or two in concert, are not most of any zone of three, and not three.
 * </ul>
 */
final class ZoneFaultDetector {
    /** A verdict takes so many observers, or all that there are. */
    static final int MIN_OBSERVERS = 3;
    /** A zone is good again when so many of those that try it say so. */
    static final int MIN_HEALTHY_OBSERVERS = 2;

    /** What is said of a zone. */
    enum Verdict {
        /** Too few say anything, or they don't agree. */
        UNCERTAIN("unsure"),
        /** Those who see it find it answers. */
        HEALTHY("sound"),
        /** Those in most zones see a good part of it fail, while other zones are good. */
        DEGRADED("poor"),
        /** Those in most zones get nothing from it. */
        UNREACHABLE("lost");

        private final String displayName;

        Verdict(String displayName) {
            this.displayName = displayName;
        }

        /** Its name in operators' answers and the log. */
        String displayName() {
            return displayName;
        }
    }

    private final List<ZoneHealthReport> reports;
    private final Set<Integer> homes;

    /**
     * By the reports of those that live.
     *
     * @param homes the zones in which the fleet has instances, whether they live or not
     */
    ZoneFaultDetector(List<ZoneHealthReport> reports, Set<Integer> homes) {
        this.reports = reports;
        this.homes = homes;
    }

    /** Whether enough of the fleet is heard to decide for it: instances in more than half of its zones. */
    boolean hasQuorum() {
        Set<Integer> heard = new HashSet<>();
        reports.forEach(r -> heard.add(r.homeZone()));
        heard.retainAll(homes);
        return 2 * heard.size() > homes.size();
    }

    Verdict verdict(int zone) {
        if (isReportedBy(zone, ZoneHealth.UNREACHABLE)) {
            return Verdict.UNREACHABLE;
        }
        if (isReportedBy(zone, ZoneHealth.DEGRADED) && otherZonesAreHealthy(zone)) {
            return Verdict.DEGRADED;
        }
        return isHealthy(zone) ? Verdict.HEALTHY : Verdict.UNCERTAIN;
    }

    /** Whether observers in most zones see it at least that bad. */
    private boolean isReportedBy(int zone, ZoneHealth least) {
        Map<Integer, Integer> votes = new HashMap<>();
        Map<Integer, Integer> against = new HashMap<>();
        int speakers = 0;
        for (ZoneHealthReport r : reports) {
            ZoneHealth s = r.healthOf(zone);
            if (s == ZoneHealth.UNKNOWN || r.isPartitioned()) {
                continue;
            }
            boolean bad = s.compareTo(least) >= 0;
            votes.merge(r.homeZone(), bad ? 1 : -1, Integer::sum);
            against.merge(r.homeZone(), bad ? 1 : 0, Integer::sum);
        }
        int places = 0;
        for (Map.Entry<Integer, Integer> v : votes.entrySet()) {
            if (v.getValue() > 0) {
                places++;
                speakers += against.get(v.getKey());
            }
        }
        return 2 * places > homes.size() && speakers >= Math.min(MIN_OBSERVERS, reports.size());
    }

    /** Whether of the other zones of which anybody speaks more are good than not, by those who speak. */
    private boolean otherZonesAreHealthy(int zone) {
        int good = 0;
        int bad = 0;
        for (ZoneHealthReport r : reports) {
            for (int z = 0; z < r.health().size(); z++) {
                if (z != zone && !r.isPartitioned()) {
                    good += r.healthOf(z) == ZoneHealth.HEALTHY ? 1 : 0;
                    bad += r.healthOf(z).isFaulty() ? 1 : 0;
                }
            }
        }
        return good > 2 * bad;
    }

    /** By those who stand elsewhere, where there are any: in the zone itself its nodes may be reached all the while. */
    private boolean isHealthy(int zone) {
        int good = 0;
        int bad = 0;
        int others = 0;
        for (ZoneHealthReport r : reports) {
            if (r.homeZone() != zone || homes.size() == 1) {
                others++;
                good += r.healthOf(zone) == ZoneHealth.HEALTHY ? 1 : 0;
                bad += r.healthOf(zone).isFaulty() && !r.isPartitioned() ? 1 : 0;
            }
        }
        return good >= Math.max(1, Math.min(MIN_HEALTHY_OBSERVERS, others)) && good > 2 * bad;
    }

    /** Whether those who get answers from it find that its nodes have lost what they held. */
    boolean isCold(int zone) {
        return reports.stream().anyMatch(r -> r.coldZones().contains(zone) && r.healthOf(zone) == ZoneHealth.HEALTHY);
    }

    /** Whether a quarter of those who live say that the origin has no room for more. */
    boolean isOriginSaturated() {
        return 4 * reports.stream().filter(ZoneHealthReport::originSaturated).count() >= Math.max(1, reports.size());
    }
}

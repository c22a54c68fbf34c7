package cacheproxy.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which health of the zones an instance publishes: nothing while all zones are healthy. If a zone is faulty,
 * each instance reports evidence against zones, some instances also report healthy zones, and the probers of a zone
 * that is left report on that zone. Times in milliseconds.
 */
final class ZoneHealthPublisher {
    /**
     * The number of instances that publish a fault at once; the others do so only if the zone is still open after
     * {@link #OTHERS_DELAY_MS}.
     */
    private static final int FIRST_REPORTERS = 12;

    private static final double OTHERS_DELAY_MS = 1200;
    /** The least time between two reports, unless a zone is unreachable. */
    private static final double MIN_INTERVAL_MS = 400;

    private byte[] metadata = {};
    private double publishedMs = Double.NEGATIVE_INFINITY;

    /** The metadata to publish now. */
    byte[] metadata() {
        return metadata.clone();
    }

    /**
     * Updates the report from the present observations.
     *
     * @param own this instance's report with all its observations
     * @param reports of all live instances, its own included
     */
    void update(
            double nowMs,
            ZoneHealthReport own,
            List<ZoneHealthReport> reports,
            FailoverPlan plan,
            List<ZoneTracker> trackers) {
        boolean anyFaulty = reports.stream().anyMatch(r -> r.health().stream().anyMatch(ZoneHealth::isFaulty));
        boolean isFirst = InstanceRanking.rank(0, own.instance(), reports) < FIRST_REPORTERS;
        List<ZoneHealth> published = new ArrayList<>();
        Set<Integer> coldZones = new HashSet<>();
        boolean unreachable = false;
        boolean anyLeft = false;
        for (int z = 0; z < own.health().size(); z++) {
            ZoneHealth health = own.health().get(z);
            ZoneTracker tracker = trackers.get(z);
            tracker.onOwnHealth(nowMs, health);
            boolean left = plan.stateOf(z).trafficParts() < ZoneState.ALL_PARTS;
            boolean isPublished = health.isFaulty()
                    ? isFirst || (nowMs - tracker.faultySinceMs >= OTHERS_DELAY_MS && plan.trafficParts(z) > 0)
                    : health == ZoneHealth.HEALTHY
                            && ((anyFaulty && isFirst)
                                    || (left && InstanceRanking.isProber(z, own.instance(), reports)));
            published.add(isPublished ? health : ZoneHealth.UNKNOWN);
            unreachable |= isPublished && health == ZoneHealth.UNREACHABLE;
            anyLeft |= left;
            if (isPublished && left && own.coldZones().contains(z)) {
                coldZones.add(z);
            }
        }
        byte[] next = ZoneHealthReport.encode(published, coldZones, anyLeft && own.originSaturated());
        if (!Arrays.equals(next, metadata) && (unreachable || nowMs - publishedMs >= MIN_INTERVAL_MS)) {
            metadata = next;
            publishedMs = nowMs;
        }
    }
}

package cacheproxy.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which cache nodes count as outliers on the reports of peers, so that not each proxy of a fleet has to lose a
 * request to a node that does not respond.
 *
 * <p>Reports may be wrong. An outlier takes reports of {@link #MIN_REPORTERS} peers from two zones, and of a zone no
 * more than one node in {@link #ZONE_FRACTION} is an outlier at once. The load balancer still sends some requests to an
 * outlier, so a wrong decision costs one node part of its traffic for {@link #REPORT_TTL_MS}. Times in milliseconds of
 * one clock.
 */
public final class OutlierGossip {
    /** A report, and the decision that rests on it, hold for so long. */
    public static final double REPORT_TTL_MS = 5000;
    /** So many peers have to report a node, or all live ones if they are fewer. */
    static final int MIN_REPORTERS = 3;
    /** They have to stand in so many zones, or in all that have live peers. */
    private static final int MIN_REPORTER_ZONES = 2;
    /** Of a zone's nodes, one in so many may be an outlier at once, one at least. */
    static final int ZONE_FRACTION = 4;
    /** More than are needed, as some stand in one zone and some messages get lost. */
    static final int SUFFICIENT_REPORTERS = 2 * MIN_REPORTERS;
    /** Of one node; the oldest is dropped first. */
    private static final int MAX_REPORTS = 8;
    /** A report counts as recent for so long, so that the next arrives before it expires. */
    private static final double RECENT_MS = REPORT_TTL_MS / 2;

    /**
     * A cache node of the endpoint list.
     *
     * @param id its endpoint id
     * @param zone where it stands
     * @param nodesInZone cache nodes of that zone on the list, itself among them
     */
    public record ReportedNode(int id, int zone, int nodesInZone) {}

    private record Report(int peer, int peerZone, double atMs) {}

    private record Outlier(int id, int zone, double untilMs) {}

    /** By endpoint id; bounded, as only nodes of the list are reported. */
    private final Map<Integer, ArrayDeque<Report>> reportsByNode = new HashMap<>();

    private final List<Outlier> outliers = new ArrayList<>();

    /**
     * A peer reports that a node did not respond.
     *
     * @param peer its number
     * @param peerZone where it stands
     * @param livePeers other instances that live, 1 or more
     * @param zonesOfPeers zones in which they stand, 1 or more
     * @return whether the node has become an outlier by this report
     */
    public boolean onReport(double nowMs, int peer, int peerZone, ReportedNode node, int livePeers, int zonesOfPeers) {
        expire(nowMs);
        ArrayDeque<Report> reports = reportsByNode.computeIfAbsent(node.id(), n -> new ArrayDeque<>());
        reports.removeIf(r -> r.peer() == peer);
        reports.add(new Report(peer, peerZone, nowMs));
        if (reports.size() > MAX_REPORTS) {
            reports.poll();
        }
        if (reports.size() < Math.min(MIN_REPORTERS, livePeers)
                || reporterZones(reports) < Math.min(MIN_REPORTER_ZONES, zonesOfPeers)
                || !mayBecomeOutlier(node)) {
            return false;
        }
        outliers.add(new Outlier(node.id(), node.zone(), nowMs + REPORT_TTL_MS));
        return true;
    }

    private static int reporterZones(Iterable<Report> reports) {
        Set<Integer> zones = new HashSet<>();
        reports.forEach(r -> zones.add(r.peerZone()));
        return zones.size();
    }

    private boolean mayBecomeOutlier(ReportedNode node) {
        boolean isOutlier = outliers.stream().anyMatch(o -> o.id() == node.id());
        long inZone = outliers.stream().filter(o -> o.zone() == node.zone()).count();
        return !isOutlier && inZone < Math.max(1, node.nodesInZone() / ZONE_FRACTION);
    }

    /**
     * Whether so many peers have reported a node recently that one more report adds nothing. All peers receive all
     * reports: if each reported what it found, a fault of many nodes would cost the square of the fleet in messages for
     * each of them.
     */
    public boolean isWidelyReported(double nowMs, int nodeId) {
        List<Report> recent = reportsByNode.getOrDefault(nodeId, new ArrayDeque<>()).stream()
                .filter(r -> nowMs - r.atMs() < RECENT_MS)
                .toList();
        return recent.size() >= MAX_REPORTS || (recent.size() >= SUFFICIENT_REPORTERS && reporterZones(recent) > 1);
    }

    private void expire(double nowMs) {
        outliers.removeIf(o -> o.untilMs() <= nowMs);
        for (Iterator<ArrayDeque<Report>> i = reportsByNode.values().iterator(); i.hasNext(); ) {
            ArrayDeque<Report> reports = i.next();
            reports.removeIf(r -> nowMs - r.atMs() > REPORT_TTL_MS);
            if (reports.isEmpty()) {
                i.remove();
            }
        }
    }
}

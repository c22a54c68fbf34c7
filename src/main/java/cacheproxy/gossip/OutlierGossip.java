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
 * Decides from reports of peers which cache nodes are outliers, so that not every proxy of a fleet has to lose a
 * request to an unresponsive node.
 *
 * <p>Reports may be wrong. A node becomes an outlier only by reports of {@link #MIN_REPORTERS} peers from two zones,
 * and at most one node in {@link #ZONE_FRACTION} of a zone is an outlier at the same time. The load balancer still
 * sends some requests to an outlier, so a wrong decision costs one node part of its traffic for {@link #REPORT_TTL_MS}.
 * Times in milliseconds of one clock.
 */
public final class OutlierGossip {
    /** The validity of a report, and of a decision based on it. */
    public static final double REPORT_TTL_MS = 5000;
    /** The number of peers that have to report a node; all live peers if there are fewer. */
    static final int MIN_REPORTERS = 3;
    /** The number of zones the reporting peers have to be in; all zones with live peers if there are fewer. */
    private static final int MIN_REPORTER_ZONES = 2;
    /** One in this many nodes of a zone may be an outlier at the same time, but always at least one. */
    static final int ZONE_FRACTION = 4;
    /**
     * The number of reporters after which more reports add nothing. More than required, since several may be in one
     * zone and some messages get lost.
     */
    static final int SUFFICIENT_REPORTERS = 2 * MIN_REPORTERS;
    /** The maximum number of reports per node; the oldest is dropped first. */
    private static final int MAX_REPORTS = 8;
    /**
     * The time for which a report counts as recent; shorter than its validity, so that the next arrives before it
     * expires.
     */
    private static final double RECENT_MS = REPORT_TTL_MS / 2;

    /**
     * A cache node of the endpoint list.
     *
     * @param id its endpoint id
     * @param zone its zone
     * @param nodesInZone the number of cache nodes of that zone on the list, including this one
     */
    public record ReportedNode(int id, int zone, int nodesInZone) {}

    private record Report(int peer, int peerZone, double atMs) {}

    private record Outlier(int id, int zone, double untilMs) {}

    /** The reports by endpoint id; bounded, because only nodes on the list are reported. */
    private final Map<Integer, ArrayDeque<Report>> reportsByNode = new HashMap<>();

    private final List<Outlier> outliers = new ArrayList<>();

    /**
     * A peer reports that a node did not respond.
     *
     * @param peer the number of the peer
     * @param peerZone the zone of the peer
     * @param livePeers the number of other live instances, at least 1
     * @param zonesOfPeers the number of zones they are in, at least 1
     * @return whether this report made the node an outlier
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
     * Whether enough peers have recently reported a node that one more report adds nothing. All peers receive all
     * reports: if each instance reported its own observations, a fault of many nodes would cause, for each of them, a
     * number of messages that grows with the square of the fleet size.
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

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
 * Which nodes are doubted by the word of peers. Guards against a fleet in which each proxy has to find a bad node by
 * itself, at the cost of a request: it takes several that found it silent, in several zones, and no set of claims takes
 * out more than a part of a zone. What is doubted is still tried, so a wrong word costs one node some requests for a
 * while.
 */
public final class OutlierGossip {
    /** A claim holds for so long, and so does what follows from it. */
    public static final double REPORT_TTL_MS = 5000;
    /** So many peers must say so, or all there are. */
    static final int MIN_REPORTERS = 3;
    /** Of a zone's nodes, one in so many may be doubted by peers' word at once, one at least. */
    static final int ZONE_FRACTION = 4;
    /** More than are needed, as some stand in one zone and some messages get lost. */
    static final int SUFFICIENT_REPORTERS = 2 * MIN_REPORTERS;

    private static final int MAX_REPORTS = 8;

    /**
     * A node as the list has it.
     *
     * @param id its number
     * @param zone where it stands
     * @param nodesInZone nodes of that zone
     */
    public record ReportedNode(int id, int zone, int nodesInZone) {}

    private record Report(int peer, int zone, double atMs) {}

    private record Outlier(int id, int zone, double untilMs) {}

    private final Map<Integer, ArrayDeque<Report>> reportsByNode = new HashMap<>();
    private final List<Outlier> outliers = new ArrayList<>();

    /**
     * A peer says that a node is silent. Nodes are those of the list, which bounds what is held of them.
     *
     * @param zone where the peer stands
     * @param others peers that live, 1 or more
     * @param homes zones in which they stand, 1 or more
     * @return whether the node is to be doubted from now on
     */
    public boolean onReport(double nowMs, int peer, int zone, ReportedNode node, int others, int homes) {
        expire(nowMs);
        ArrayDeque<Report> all = reportsByNode.computeIfAbsent(node.id(), n -> new ArrayDeque<>());
        all.removeIf(c -> c.peer() == peer);
        all.add(new Report(peer, zone, nowMs));
        if (all.size() > MAX_REPORTS) {
            all.poll();
        }
        Set<Integer> from = new HashSet<>();
        all.forEach(c -> from.add(c.zone()));
        if (all.size() < Math.min(MIN_REPORTERS, others) || from.size() < Math.min(2, homes)) {
            return false;
        }
        long already = outliers.stream().filter(d -> d.zone() == node.zone()).count();
        if (outliers.stream().anyMatch(d -> d.id() == node.id())
                || already >= Math.max(1, node.nodesInZone() / ZONE_FRACTION)) {
            return false;
        }
        outliers.add(new Outlier(node.id(), node.zone(), nowMs + REPORT_TTL_MS));
        return true;
    }

    /**
     * Whether so many peers have said so lately that one more adds nothing. All tell all; where many nodes are bad, a
     * fleet in which each said what it found would send its square of messages for each of them.
     */
    public boolean isWidelyReported(double nowMs, int node) {
        List<Report> fresh = reportsByNode.getOrDefault(node, new ArrayDeque<>()).stream()
                .filter(c -> nowMs - c.atMs() < REPORT_TTL_MS / 2)
                .toList();
        return fresh.size() >= MAX_REPORTS
                || (fresh.size() >= SUFFICIENT_REPORTERS
                        && fresh.stream().mapToInt(Report::zone).distinct().count() > 1);
    }

    private void expire(double nowMs) {
        outliers.removeIf(d -> d.untilMs() <= nowMs);
        for (Iterator<ArrayDeque<Report>> i = reportsByNode.values().iterator(); i.hasNext(); ) {
            ArrayDeque<Report> all = i.next();
            all.removeIf(c -> nowMs - c.atMs() > REPORT_TTL_MS);
            if (all.isEmpty()) {
                i.remove();
            }
        }
    }
}

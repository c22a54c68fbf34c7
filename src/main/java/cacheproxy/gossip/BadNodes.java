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
public final class BadNodes {
    /** A claim holds for so long, and so does what follows from it. */
    public static final double KEPT_MS = 5000;
    /** So many peers must say so, or all there are. */
    static final int LEAST = 3;
    /** Of a zone's nodes, one in so many may be doubted by peers' word at once, one at least. */
    static final int PART = 4;
    /** More than are needed, as some stand in one zone and some messages get lost. */
    static final int ENOUGH = 2 * LEAST;

    private static final int MOST_CLAIMS = 8;

    /**
     * A node as the list has it.
     *
     * @param id its number
     * @param zone where it stands
     * @param all nodes of that zone
     */
    public record Node(int id, int zone, int all) {}

    private record Claim(int peer, int zone, double atMs) {}

    private record Doubted(int id, int zone, double untilMs) {}

    private final Map<Integer, ArrayDeque<Claim>> claims = new HashMap<>();
    private final List<Doubted> doubted = new ArrayList<>();

    /**
     * A peer says that a node is silent. Nodes are those of the list, which bounds what is held of them.
     *
     * @param zone where the peer stands
     * @param others peers that live, 1 or more
     * @param homes zones in which they stand, 1 or more
     * @return whether the node is to be doubted from now on
     */
    public boolean claimed(double nowMs, int peer, int zone, Node node, int others, int homes) {
        forget(nowMs);
        ArrayDeque<Claim> all = claims.computeIfAbsent(node.id(), n -> new ArrayDeque<>());
        all.removeIf(c -> c.peer() == peer);
        all.add(new Claim(peer, zone, nowMs));
        if (all.size() > MOST_CLAIMS) {
            all.poll();
        }
        Set<Integer> from = new HashSet<>();
        all.forEach(c -> from.add(c.zone()));
        if (all.size() < Math.min(LEAST, others) || from.size() < Math.min(2, homes)) {
            return false;
        }
        long already = doubted.stream().filter(d -> d.zone() == node.zone()).count();
        if (doubted.stream().anyMatch(d -> d.id() == node.id()) || already >= Math.max(1, node.all() / PART)) {
            return false;
        }
        doubted.add(new Doubted(node.id(), node.zone(), nowMs + KEPT_MS));
        return true;
    }

    /**
     * Whether so many peers have said so lately that one more adds nothing. All tell all; where many nodes are bad, a
     * fleet in which each said what it found would send its square of messages for each of them.
     */
    public boolean knownToAll(double nowMs, int node) {
        List<Claim> fresh = claims.getOrDefault(node, new ArrayDeque<>()).stream()
                .filter(c -> nowMs - c.atMs() < KEPT_MS / 2)
                .toList();
        return fresh.size() >= MOST_CLAIMS
                || (fresh.size() >= ENOUGH
                        && fresh.stream().mapToInt(Claim::zone).distinct().count() > 1);
    }

    private void forget(double nowMs) {
        doubted.removeIf(d -> d.untilMs() <= nowMs);
        for (Iterator<ArrayDeque<Claim>> i = claims.values().iterator(); i.hasNext(); ) {
            ArrayDeque<Claim> all = i.next();
            all.removeIf(c -> nowMs - c.atMs() > KEPT_MS);
            if (all.isEmpty()) {
                i.remove();
            }
        }
    }
}

package cacheproxy.recovery;

import cacheproxy.membership.Member;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.ServicePhase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state query of an instance that starts without state: it asks {@value #ANSWERS_WANTED} serving peers for a
 * summary, from as many zones as possible. Each instance ranks the peers in an order of its own, so that restarted
 * instances do not all query the same peer. If an answer does not arrive, the next peer is queried. If no peer serves,
 * the whole fleet has restarted and no instance has state; this is assumed after a short time.
 *
 * <p>Answers only make decisions more cautious. A node is suspected if two answers name it, or the only answer there
 * is. Of a zone's nodes at most one in {@value #MAX_SUSPECTED_DIVISOR} is suspected.
 *
 * <p>Times are milliseconds of one clock. Not thread-safe.
 */
public final class PeerStateQuery {
    /** The number of answers that are enough. */
    public static final int ANSWERS_WANTED = 3;
    /** The time after which the next peer is queried if an answer has not arrived. */
    static final double ANSWER_TIMEOUT_MS = 500;
    /** If no peer has been serving for this long since the start, no instance has state. */
    static final double NO_PEER_TIMEOUT_MS = 3000;
    /** The query ends after this time at the latest: what this instance has observed itself is newer by then. */
    static final double QUERY_TIMEOUT_MS = 6000;
    /** One in this many of a zone's nodes may be suspected, and one node in any case. */
    static final int MAX_SUSPECTED_DIVISOR = 4;
    /** The number of answers that have to name a node; all answers if there are fewer. */
    private static final int MIN_VOTES = 2;

    /** The progress of the query. */
    public enum State {
        /** It waits for answers, or for a serving peer. */
        QUERYING,
        /** At least one peer has answered. */
        ANSWERED,
        /** No peer serves, so no instance has state. */
        NO_SERVING_PEER,
        /** Peers serve, but no answer arrived in time. */
        UNANSWERED
    }

    /**
     * The combined answers.
     *
     * @param answers the number of answers
     * @param listVersion the highest endpoint list version among them
     * @param originFetchMs the median of their origin fetch times, in milliseconds
     * @param nodeLatencyMs the median of their node latencies, in milliseconds
     * @param originInTimeRatio the lowest of their in-time ratios, 0 to 1
     * @param suspectedNodes the nodes to suspect, those avoided by most peers first
     */
    public record Result(
            int answers,
            long listVersion,
            double originFetchMs,
            double nodeLatencyMs,
            double originInTimeRatio,
            List<Integer> suspectedNodes) {}

    private final int instance;
    private final double startedMs;
    /** When each peer was queried. */
    private final Map<Integer, Double> queriedAtMs = new LinkedHashMap<>();

    private final Map<Integer, PeerStateSummary> answers = new LinkedHashMap<>();
    private double servingPeerSeenMs = Double.NaN;
    private State state = State.QUERYING;

    /** Begins at a time. {@code instance}: this instance's number, which determines the order of its peers. */
    public PeerStateQuery(int instance, double startedMs) {
        this.instance = instance;
        this.startedMs = startedMs;
    }

    /** The peers to query now; to be called several times a second. */
    public List<Integer> peersToQuery(double nowMs, MembershipView view) {
        if (state != State.QUERYING) {
            return List.of();
        }
        List<Member> serving = servingPeers(view);
        if (!serving.isEmpty() && Double.isNaN(servingPeerSeenMs)) {
            servingPeerSeenMs = nowMs;
        }
        state = nextState(nowMs, serving.size());
        return state == State.QUERYING ? choosePeers(nowMs, serving) : List.of();
    }

    private List<Member> servingPeers(MembershipView view) {
        return view.members().stream()
                .filter(e -> e.id() != instance && e.state().isLive() && e.phase() == ServicePhase.SERVING)
                .sorted(Comparator.comparingLong(e -> Member.mix(e.id() ^ instance * 0x9e37_79b9_7f4a_7c15L)))
                .toList();
    }

    private State nextState(double nowMs, int servingPeers) {
        boolean noPeerSeen = Double.isNaN(servingPeerSeenMs);
        if (answers.size() >= Math.min(ANSWERS_WANTED, Math.max(1, servingPeers))) {
            return State.ANSWERED;
        }
        if (nowMs - startedMs >= QUERY_TIMEOUT_MS) {
            if (!answers.isEmpty()) {
                return State.ANSWERED;
            }
            return noPeerSeen ? State.NO_SERVING_PEER : State.UNANSWERED;
        }
        return noPeerSeen && nowMs - startedMs >= NO_PEER_TIMEOUT_MS ? State.NO_SERVING_PEER : State.QUERYING;
    }

    /** Chooses peers of zones in which no peer was queried first, then any. */
    private List<Integer> choosePeers(double nowMs, List<Member> serving) {
        long awaited = queriedAtMs.entrySet().stream()
                .filter(e -> !answers.containsKey(e.getKey()) && nowMs - e.getValue() < ANSWER_TIMEOUT_MS)
                .count();
        Set<Integer> zones = new HashSet<>();
        serving.stream().filter(e -> queriedAtMs.containsKey(e.id())).forEach(e -> zones.add(e.zone()));
        List<Integer> chosen = new ArrayList<>();
        for (boolean anyZone : new boolean[] {false, true}) {
            for (Member e : serving) {
                if (awaited + answers.size() < ANSWERS_WANTED
                        && !queriedAtMs.containsKey(e.id())
                        && (zones.add(e.zone()) || anyZone)) {
                    queriedAtMs.put(e.id(), nowMs);
                    chosen.add(e.id());
                    awaited++;
                }
            }
        }
        return chosen;
    }

    /** A peer has answered; an answer that was not requested, or a second one of a peer, is ignored. */
    public void answerReceived(int peer, PeerStateSummary summary) {
        if (state == State.QUERYING && queriedAtMs.containsKey(peer)) {
            answers.putIfAbsent(peer, summary);
        }
    }

    /** The progress as of the last {@link #peersToQuery}. */
    public State state() {
        return state;
    }

    /**
     * The combined answers, once there are any.
     *
     * @param zoneOf the zone of each node; other nodes are ignored
     * @param nodesInZone the number of nodes in each zone
     */
    public Result result(Map<Integer, Integer> zoneOf, Map<Integer, Integer> nodesInZone) {
        if (answers.isEmpty()) {
            throw new IllegalStateException("no peer has answered");
        }
        return new Result(
                answers.size(),
                answers.values().stream()
                        .mapToLong(PeerStateSummary::listVersion)
                        .max()
                        .orElseThrow(),
                median(answers.values().stream()
                        .map(PeerStateSummary::originFetchMs)
                        .sorted()
                        .toList()),
                median(answers.values().stream()
                        .map(PeerStateSummary::nodeLatencyMs)
                        .sorted()
                        .toList()),
                answers.values().stream()
                        .mapToDouble(PeerStateSummary::originInTimeRatio)
                        .min()
                        .orElseThrow(),
                suspectedNodes(zoneOf, nodesInZone));
    }

    private List<Integer> suspectedNodes(Map<Integer, Integer> zoneOf, Map<Integer, Integer> nodesInZone) {
        Map<Integer, Integer> votes = new LinkedHashMap<>();
        answers.values()
                .forEach(summary ->
                        new HashSet<>(summary.avoidedNodes()).forEach(node -> votes.merge(node, 1, Integer::sum)));
        Map<Integer, Integer> suspectedInZone = new HashMap<>();
        return votes.entrySet().stream()
                .filter(v -> v.getValue() >= Math.min(MIN_VOTES, answers.size()) && zoneOf.containsKey(v.getKey()))
                .sorted(Map.Entry.<Integer, Integer>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .filter(node -> suspectedInZone.merge(zoneOf.get(node), 1, Integer::sum)
                        <= maxSuspected(nodesInZone.getOrDefault(zoneOf.get(node), 0)))
                .toList();
    }

    private static int maxSuspected(int nodesInZone) {
        return Math.max(1, nodesInZone / MAX_SUSPECTED_DIVISOR);
    }

    private static double median(List<Float> sorted) {
        return sorted.get(sorted.size() / 2);
    }
}

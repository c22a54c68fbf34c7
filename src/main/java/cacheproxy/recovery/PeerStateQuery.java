package cacheproxy.recovery;

import cacheproxy.membership.Entry;
import cacheproxy.membership.Phase;
import cacheproxy.membership.View;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How an instance that remembers nothing learns from those that serve: it asks three of them, from as many zones as
 * there are, by a rank of its own, so that not all who come back ask the same one. An answer that does not come is
 * asked of the next. What never comes is done without; where nobody serves, all have come back, nobody remembers, and
 * that is known after a short time too.
 *
 * <p>What they say makes decisions more careful and nothing else: a node is doubted when two of them avoid it, or the
 * only one that there is; of a zone's nodes never more than a quarter.
 */
public final class PeerStateQuery {
    /** So many answers are enough. */
    public static final int ANSWERS_WANTED = 3;
    /** An answer takes so long at most, there and back and in line. */
    static final double ANSWER_TIMEOUT_MS = 500;
    /** Where nobody serves for so long, nobody remembers. */
    static final double NO_PEER_TIMEOUT_MS = 3000;
    /** All of it ends after so long: what was met here is newer by then. */
    static final double QUERY_TIMEOUT_MS = 6000;
    /** Of a zone's nodes one in so many may be doubted on peers' word, one at least. */
    static final int MAX_SUSPECTED_DIVISOR = 4;

    /** How it stands. */
    public enum State {
        /** Answers are waited for, or somebody to ask. */
        QUERYING,
        /** There were answers. */
        ANSWERED,
        /** Nobody serves who could remember. */
        NO_SERVING_PEER,
        /** Somebody serves, and no answer came in time. */
        UNANSWERED
    }

    /**
     * What has come of it.
     *
     * @param answers how many answered
     * @param listVersion the highest that any of them holds
     * @param originFetchMs the middle of what they say
     * @param nodeLatencyMs likewise
     * @param originInTimeRatio the least of what they say
     * @param suspectedNodes nodes to doubt, those that most of them avoid first
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
    /** When those that were asked were asked. */
    private final Map<Integer, Double> queriedAtMs = new LinkedHashMap<>();

    private final Map<Integer, PeerStateSummary> answers = new LinkedHashMap<>();
    private double servingPeerSeenMs = Double.NaN;
    private State state = State.QUERYING;

    /** Begins at a time. {@code instance}: the instance's number, by which whom it asks is drawn. */
    public PeerStateQuery(int me, double startedMs) {
        this.instance = me;
        this.startedMs = startedMs;
    }

    /** Whom to ask now. Some times a second. */
    public List<Integer> peersToQuery(double nowMs, View view) {
        if (state != State.QUERYING) {
            return List.of();
        }
        List<Entry> serving = view.entries().stream()
                .filter(e -> e.id() != instance && e.state().lives() && e.phase() == Phase.SERVING)
                .sorted(Comparator.comparingLong(e -> Entry.mix(e.id() ^ instance * 0x9e37_79b9_7f4a_7c15L)))
                .toList();
        if (!serving.isEmpty() && Double.isNaN(servingPeerSeenMs)) {
            servingPeerSeenMs = nowMs;
        }
        if (answers.size() >= Math.min(ANSWERS_WANTED, Math.max(1, serving.size()))) {
            state = State.ANSWERED;
        } else if (nowMs - startedMs >= QUERY_TIMEOUT_MS) {
            state = !answers.isEmpty()
                    ? State.ANSWERED
                    : Double.isNaN(servingPeerSeenMs) ? State.NO_SERVING_PEER : State.UNANSWERED;
        } else if (Double.isNaN(servingPeerSeenMs) && nowMs - startedMs >= NO_PEER_TIMEOUT_MS) {
            state = State.NO_SERVING_PEER;
        }
        return state == State.QUERYING ? choosePeers(nowMs, serving) : List.of();
    }

    private List<Integer> choosePeers(double nowMs, List<Entry> serving) {
        long out = queriedAtMs.entrySet().stream()
                .filter(e -> !answers.containsKey(e.getKey()) && nowMs - e.getValue() < ANSWER_TIMEOUT_MS)
                .count();
        Set<Integer> zones = new HashSet<>();
        serving.stream().filter(e -> queriedAtMs.containsKey(e.id())).forEach(e -> zones.add(e.zone()));
        List<Integer> ask = new ArrayList<>();
        for (int round = 0; round < 2; round++) {
            for (Entry e : serving) {
                if (out + answers.size() < ANSWERS_WANTED
                        && !queriedAtMs.containsKey(e.id())
                        && (zones.add(e.zone()) || round > 0)) {
                    queriedAtMs.put(e.id(), nowMs);
                    ask.add(e.id());
                    out++;
                }
            }
        }
        return ask;
    }

    /** An answer has come; one that was not asked for, or comes twice, says nothing. */
    public void answerReceived(int peer, PeerStateSummary memory) {
        if (state == State.QUERYING && queriedAtMs.containsKey(peer)) {
            answers.putIfAbsent(peer, memory);
        }
    }

    /** How it stands. */
    public State state() {
        return state;
    }

    /**
     * What they said, once that is done.
     *
     * @param zoneOf where a node stands; nodes that are not in it are left out
     * @param inZone how many nodes a zone has
     */
    public Result result(Map<Integer, Integer> zoneOf, Map<Integer, Integer> inZone) {
        if (answers.isEmpty()) {
            throw new IllegalStateException("nobody has answered");
        }
        Map<Integer, Integer> votes = new LinkedHashMap<>();
        answers.values().forEach(m -> new HashSet<>(m.avoidedNodes()).forEach(n -> votes.merge(n, 1, Integer::sum)));
        Map<Integer, Integer> doubted = new HashMap<>();
        List<Integer> bad = votes.entrySet().stream()
                .filter(v -> v.getValue() >= Math.min(2, answers.size()) && zoneOf.containsKey(v.getKey()))
                .sorted(Map.Entry.<Integer, Integer>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .filter(n -> doubted.merge(zoneOf.get(n), 1, Integer::sum)
                        <= Math.max(1, inZone.getOrDefault(zoneOf.get(n), 0) / MAX_SUSPECTED_DIVISOR))
                .toList();
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
                bad);
    }

    private static double median(List<Float> sorted) {
        return sorted.get(sorted.size() / 2);
    }
}

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
    public static final int ENOUGH = 3;
    /** An answer takes so long at most, there and back and in line. */
    static final double ANSWER_MS = 500;
    /** Where nobody serves for so long, nobody remembers. */
    static final double NOBODY_MS = 3000;
    /** All of it ends after so long: what was met here is newer by then. */
    static final double LONGEST_MS = 6000;
    /** Of a zone's nodes one in so many may be doubted on peers' word, one at least. */
    static final int PART = 4;

    /** How it stands. */
    public enum State {
        /** Answers are waited for, or somebody to ask. */
        ASKING,
        /** There were answers. */
        DONE,
        /** Nobody serves who could remember. */
        NOBODY,
        /** Somebody serves, and no answer came in time. */
        UNANSWERED
    }

    /**
     * What has come of it.
     *
     * @param from how many answered
     * @param listVersion the highest that any of them holds
     * @param fetchMs the middle of what they say
     * @param paceMs likewise
     * @param originShare the least of what they say
     * @param bad nodes to doubt, those that most of them avoid first
     */
    public record Result(
            int from, long listVersion, double fetchMs, double paceMs, double originShare, List<Integer> bad) {}

    private final int me;
    private final double startedMs;
    /** When those that were asked were asked. */
    private final Map<Integer, Double> askedMs = new LinkedHashMap<>();

    private final Map<Integer, PeerStateSummary> answers = new LinkedHashMap<>();
    private double servesMs = Double.NaN;
    private State state = State.ASKING;

    /** Begins at a time. {@code me}: the instance's number, by which whom it asks is drawn. */
    public PeerStateQuery(int me, double startedMs) {
        this.me = me;
        this.startedMs = startedMs;
    }

    /** Whom to ask now. Some times a second. */
    public List<Integer> tick(double nowMs, View view) {
        if (state != State.ASKING) {
            return List.of();
        }
        List<Entry> serving = view.entries().stream()
                .filter(e -> e.id() != me && e.state().lives() && e.phase() == Phase.SERVING)
                .sorted(Comparator.comparingLong(e -> Entry.mix(e.id() ^ me * 0x9e37_79b9_7f4a_7c15L)))
                .toList();
        if (!serving.isEmpty() && Double.isNaN(servesMs)) {
            servesMs = nowMs;
        }
        if (answers.size() >= Math.min(ENOUGH, Math.max(1, serving.size()))) {
            state = State.DONE;
        } else if (nowMs - startedMs >= LONGEST_MS) {
            state = !answers.isEmpty() ? State.DONE : Double.isNaN(servesMs) ? State.NOBODY : State.UNANSWERED;
        } else if (Double.isNaN(servesMs) && nowMs - startedMs >= NOBODY_MS) {
            state = State.NOBODY;
        }
        return state == State.ASKING ? ask(nowMs, serving) : List.of();
    }

    private List<Integer> ask(double nowMs, List<Entry> serving) {
        long out = askedMs.entrySet().stream()
                .filter(e -> !answers.containsKey(e.getKey()) && nowMs - e.getValue() < ANSWER_MS)
                .count();
        Set<Integer> zones = new HashSet<>();
        serving.stream().filter(e -> askedMs.containsKey(e.id())).forEach(e -> zones.add(e.zone()));
        List<Integer> ask = new ArrayList<>();
        for (int round = 0; round < 2; round++) {
            for (Entry e : serving) {
                if (out + answers.size() < ENOUGH
                        && !askedMs.containsKey(e.id())
                        && (zones.add(e.zone()) || round > 0)) {
                    askedMs.put(e.id(), nowMs);
                    ask.add(e.id());
                    out++;
                }
            }
        }
        return ask;
    }

    /** An answer has come; one that was not asked for, or comes twice, says nothing. */
    public void heard(int peer, PeerStateSummary memory) {
        if (state == State.ASKING && askedMs.containsKey(peer)) {
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
    public Result recalled(Map<Integer, Integer> zoneOf, Map<Integer, Integer> inZone) {
        if (answers.isEmpty()) {
            throw new IllegalStateException("nobody has answered");
        }
        Map<Integer, Integer> votes = new LinkedHashMap<>();
        answers.values().forEach(m -> new HashSet<>(m.bad()).forEach(n -> votes.merge(n, 1, Integer::sum)));
        Map<Integer, Integer> doubted = new HashMap<>();
        List<Integer> bad = votes.entrySet().stream()
                .filter(v -> v.getValue() >= Math.min(2, answers.size()) && zoneOf.containsKey(v.getKey()))
                .sorted(Map.Entry.<Integer, Integer>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .filter(n -> doubted.merge(zoneOf.get(n), 1, Integer::sum)
                        <= Math.max(1, inZone.getOrDefault(zoneOf.get(n), 0) / PART))
                .toList();
        return new Result(
                answers.size(),
                answers.values().stream()
                        .mapToLong(PeerStateSummary::listVersion)
                        .max()
                        .orElseThrow(),
                middle(answers.values().stream()
                        .map(PeerStateSummary::fetchMs)
                        .sorted()
                        .toList()),
                middle(answers.values().stream()
                        .map(PeerStateSummary::paceMs)
                        .sorted()
                        .toList()),
                answers.values().stream()
                        .mapToDouble(PeerStateSummary::originShare)
                        .min()
                        .orElseThrow(),
                bad);
    }

    private static double middle(List<Float> sorted) {
        return sorted.get(sorted.size() / 2);
    }
}

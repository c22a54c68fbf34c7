package cacheproxy.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What has been broken of the four rules, over all instances. */
public final class Rules {
    /** The four rules, as the operators word them. */
    public enum Rule {
        /** Each request that a running instance took gets exactly one final answer in time, and nothing after it. */
        NO_REQUEST_LOST,
        /** Nothing runs oftener than its class allows, and a refusal is told only where nothing can have run. */
        NO_EFFECT_TWICE,
        /** Nothing new goes to a node beyond the grace after this instance was told that it drains or is gone. */
        DRAINS_KEPT,
        /** All instances together do not push a cold node over. */
        NO_COLD_NODE_PUSHED_OVER
    }

    /**
     * One break of a rule.
     *
     * @param atMs when, in milliseconds of virtual time
     * @param what what happened, with the ids of request and instance
     */
    public record Broken(Rule rule, double atMs, String what) {}

    /** So many are kept word for word; the rest is counted. */
    private static final int MOST_TOLD = 20;

    private final List<Broken> told = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    void broken(Rule rule, double atMs, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (told.size() < MOST_TOLD) {
            told.add(new Broken(rule, atMs, what));
        }
    }

    /** Whether all were kept. */
    public boolean kept() {
        return counts.isEmpty();
    }

    /** How often each was broken; those that were kept are not in it. */
    public Map<Rule, Integer> counts() {
        return Collections.unmodifiableMap(counts);
    }

    /** The first of them. */
    public List<Broken> told() {
        return List.copyOf(told);
    }
}

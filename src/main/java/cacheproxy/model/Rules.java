package cacheproxy.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Records violations of the four rules over all instances. */
public final class Rules {
    /** The four rules, as the operators state them. */
    public enum Rule {
        /** Each request accepted by a running instance gets exactly one final response in time and nothing after it. */
        NO_REQUEST_LOST,
        /**
         * No request is executed more often than its class allows; it is refused only if it can't have been executed.
         */
        NO_EFFECT_TWICE,
        /**
         * Once an instance is told that a node drains or is removed, it sends nothing new there after the grace time.
         */
        DRAINS_KEPT,
        /** All instances together don't overload a cold node. */
        NO_COLD_NODE_PUSHED_OVER
    }

    /**
     * One violation of a rule.
     *
     * @param atMs virtual time in milliseconds
     * @param what what happened, with the ids that identify it
     */
    public record Broken(Rule rule, double atMs, String what) {}

    /** Maximum number of violations kept with their texts; further ones are only counted. */
    private static final int MOST_TOLD = 20;

    private final List<Broken> told = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    void broken(Rule rule, double atMs, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (told.size() < MOST_TOLD) {
            told.add(new Broken(rule, atMs, what));
        }
    }

    /** Whether no rule was violated. */
    public boolean kept() {
        return counts.isEmpty();
    }

    /** Number of violations by rule; rules without violations are absent. */
    public Map<Rule, Integer> counts() {
        return Collections.unmodifiableMap(counts);
    }

    /** The first violations, with their texts. */
    public List<Broken> told() {
        return List.copyOf(told);
    }
}

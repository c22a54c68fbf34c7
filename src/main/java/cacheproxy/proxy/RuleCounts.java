package cacheproxy.proxy;

import java.util.Map;

/**
 * What a proxy has seen of the four rules since its start.
 *
 * @param forbidden attempts that were ordered and not begun, by the condition that forbade them
 * @param breaches what went against a rule all the same, by its kind
 */
public record RuleCounts(Map<String, Long> forbidden, Map<String, Long> breaches) {
    /** Copies the maps. */
    public RuleCounts {
        forbidden = Map.copyOf(forbidden);
        breaches = Map.copyOf(breaches);
    }
}

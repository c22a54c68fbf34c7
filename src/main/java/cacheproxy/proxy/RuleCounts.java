package cacheproxy.proxy;

import java.util.Map;

/**
 * What a proxy has seen of the safety rules since its start.
 *
 * @param forbidden attempts that were ordered and not sent, by the stable name of the verdict
 * @param violations violations of the rules, by the stable name of their kind
 */
public record RuleCounts(Map<String, Long> forbidden, Map<String, Long> violations) {
    /** Copies the maps. */
    public RuleCounts {
        forbidden = Map.copyOf(forbidden);
        violations = Map.copyOf(violations);
    }
}

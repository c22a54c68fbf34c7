package cacheproxy.proxy;

import java.util.Map;

/**
 * Counts of what the safety rules forbade, and of violations of them, since the start of the process.
 *
 * @param forbidden attempts that the load balancer requested and that were not sent, by the key of the verdict
 * @param violations violations of the rules, by the key of their kind
 */
public record RuleCounts(Map<String, Long> forbidden, Map<String, Long> violations) {
    /** Copies the maps. */
    public RuleCounts {
        forbidden = Map.copyOf(forbidden);
        violations = Map.copyOf(violations);
    }
}

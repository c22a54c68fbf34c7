package cacheproxy.membership;

/**
 * The number of configured instances, at least 1. Safety rules count all of them, because an instance that is not seen
 * may be alive on the other side of a partition: slow-start budgets, capacities of nodes, quotas.
 */
public record ConfiguredMembers(int count) {
    /** Checks the range. */
    public ConfiguredMembers {
        if (count < 1) {
            throw new IllegalArgumentException(count + " configured instances, expected at least 1");
        }
    }
}

package cacheproxy.membership;

/**
 * How many instances the settings name, at least 1. What a safety rule rests on counts all of them for as long as one
 * that isn't seen may be alive beyond a partition: slow-start budgets, capacities of nodes, quotas.
 */
public record ConfiguredMembers(int count) {
    /** Checks the range. */
    public ConfiguredMembers {
        if (count < 1) {
            throw new IllegalArgumentException(count + " configured instances");
        }
    }
}

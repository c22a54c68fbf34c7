package cacheproxy.membership;

/**
 * How many instances the settings name, at least 1. What a rule rests on counts all of them for as long as one that is
 * not seen may be alive behind a cut: the sums over cold nodes, places at nodes, caps of quotas.
 */
public record ConfiguredMembers(int count) {
    /** Checks the range. */
    public ConfiguredMembers {
        if (count < 1) {
            throw new IllegalArgumentException(count + " configured instances");
        }
    }
}

package cacheproxy.membership;

/**
 * The number of instances that are live as far as this one knows, including itself; at least 1. It is advisory, for
 * what may save work: delays, probes, and which instances poll. Safety rules use {@link ConfiguredMembers}.
 */
public record LiveMembers(int count) {
    /** Checks the range. */
    public LiveMembers {
        if (count < 1) {
            throw new IllegalArgumentException(count + " live instances, expected at least 1");
        }
    }
}

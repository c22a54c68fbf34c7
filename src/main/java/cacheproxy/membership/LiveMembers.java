package cacheproxy.membership;

/**
 * How many instances are live as far as this one knows, itself among them; at least 1. It is advice, for what may save
 * work: turns, probes, and who polls. What a safety rule rests on takes {@link ConfiguredMembers}.
 */
public record LiveMembers(int count) {
    /** Checks the range. */
    public LiveMembers {
        if (count < 1) {
            throw new IllegalArgumentException(count + " live instances; at least this one is");
        }
    }
}

package cacheproxy.membership;

/**
 * How many instances live as far as this one knows, itself among them; at least 1. Advice: it may save work, as turns,
 * probes and who asks. What a rule rests on takes a {@link ConfiguredMembers}.
 */
public record LiveMembers(int count) {
    /** Checks the range. */
    public LiveMembers {
        if (count < 1) {
            throw new IllegalArgumentException(count + " instances live; at least the one that says so does");
        }
    }
}

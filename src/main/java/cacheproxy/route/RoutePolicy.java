package cacheproxy.route;

/**
 * Limits that hold for the requests of the routes that name it, beside those of the settings: the narrower holds.
 *
 * @param name its name; empty for the settings' own
 * @param deadlineMs the longest that a request may wait; infinite: as long as its client does
 * @param maxAttempts at how many servers it may be tried in all, over both pools; at least 1
 * @param retryRatio further attempts as a part of all requests, 0 to 1 and more; infinite: not bounded
 * @param minRetriesPerSecond further attempts a second that are allowed however few requests there are
 * @param hedgingAllowed whether a second attempt may go out while the first is out
 * @param rejectedRequests what is refused at once
 * @param maxOpenRequests more requests than this at a time are refused at once
 * @param retryAfterMs when those that are refused by this policy are told to come back
 */
public record RoutePolicy(
        String name,
        double deadlineMs,
        int maxAttempts,
        double retryRatio,
        double minRetriesPerSecond,
        boolean hedgingAllowed,
        RejectedRequests rejectedRequests,
        int maxOpenRequests,
        double retryAfterMs) {
    /** Which requests are refused at once. */
    public enum RejectedRequests {
        NOTHING,
        READS,
        WRITES,
        ALL
    }

    /** The settings' own. */
    public static final RoutePolicy UNLIMITED = new RoutePolicy(
            "",
            Double.POSITIVE_INFINITY,
            Integer.MAX_VALUE,
            Double.POSITIVE_INFINITY,
            0,
            true,
            RejectedRequests.NOTHING,
            Integer.MAX_VALUE,
            0);

    /** Checks the ranges. */
    public RoutePolicy {
        if (!(deadlineMs > 0)
                || maxAttempts < 1
                || !(retryRatio >= 0)
                || !(minRetriesPerSecond >= 0)
                || maxOpenRequests < 0
                || !(retryAfterMs >= 0)) {
            throw new IllegalArgumentException("policy " + name + " is out of range");
        }
    }

    boolean rejects(boolean write) {
        return rejectedRequests == RejectedRequests.ALL
                || rejectedRequests == (write ? RejectedRequests.WRITES : RejectedRequests.READS);
    }
}

package cacheproxy.route;

/**
 * Limits for the requests of the routes that name it. They hold beside those of the settings: the narrower holds.
 *
 * @param name its name; empty for {@link #UNLIMITED}
 * @param deadlineMs the longest that a request may wait, in milliseconds, above 0; infinite: as long as its client does
 * @param maxAttempts attempts of one request over both pools, at least 1
 * @param retryRatio retries as a part of all requests, 0 or more; infinite: not bounded
 * @param minRetriesPerSecond retries a second that are allowed however few requests there are, 0 or more
 * @param hedgingAllowed whether a second attempt may go out while the first is in flight
 * @param rejectedRequests what is rejected at once
 * @param maxOpenRequests further requests than so many at a time are rejected at once; 0 or more
 * @param retryAfterMs the Retry-After of those that this policy rejects, in milliseconds, 0 or more
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
    /** Which requests are rejected at once, by the value of the setting {@code turn-away}. */
    public enum RejectedRequests {
        NOTHING("nothing"),
        READS("reads"),
        WRITES("writes"),
        ALL("all");

        private final String setting;

        RejectedRequests(String setting) {
            this.setting = setting;
        }

        /** The value of the setting. */
        public String setting() {
            return setting;
        }

        /**
         * What a value of the setting stands for.
         *
         * @throws InvalidPolicyException if it is no such value
         */
        public static RejectedRequests of(String setting) {
            for (RejectedRequests rejected : values()) {
                if (rejected.setting.equals(setting)) {
                    return rejected;
                }
            }
            throw new InvalidPolicyException("turn-away = " + setting + ", expected nothing, reads, writes or all");
        }
    }

    /** No limit beside the settings' own. */
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

    /**
     * Checks the ranges.
     *
     * @throws InvalidPolicyException if a limit is out of its range
     */
    public RoutePolicy {
        if (!(deadlineMs > 0)
                || maxAttempts < 1
                || !(retryRatio >= 0)
                || !(minRetriesPerSecond >= 0)
                || maxOpenRequests < 0
                || !(retryAfterMs >= 0)) {
            throw new InvalidPolicyException("policy " + name + " is out of range");
        }
    }

    boolean rejects(boolean write) {
        return rejectedRequests == RejectedRequests.ALL
                || rejectedRequests == (write ? RejectedRequests.WRITES : RejectedRequests.READS);
    }
}

package cacheproxy.route;

/**
 * Limits for the requests of the routes that name it. They apply in addition to those of the settings: the stricter one
 * holds.
 *
 * @param name its name; empty for {@link #UNLIMITED}
 * @param deadlineMs the longest that a request may wait, in milliseconds, above 0; infinite: as long as its client does
 * @param maxAttempts attempts of one request over both pools, at least 1
 * @param retryRatio retries as a fraction of all requests, 0 or more; infinite: not bounded
 * @param minRetriesPerSecond retries per second that are allowed for any number of requests, 0 or more
 * @param hedgingAllowed whether a second attempt may go out while the first is in flight
 * @param rejectedRequests which requests are rejected on arrival
 * @param maxOpenRequests the most open requests, 0 or more; further ones are rejected on arrival
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
    /** Which requests are rejected on arrival, by the value of the setting {@code turn-away}. */
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
         * The constant for a value of the setting.
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

    /** No limits beyond those of the settings. */
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
            throw new InvalidPolicyException("policy " + name + " has a limit out of range");
        }
    }

    boolean rejects(boolean write) {
        return rejectedRequests == RejectedRequests.ALL
                || rejectedRequests == (write ? RejectedRequests.WRITES : RejectedRequests.READS);
    }
}

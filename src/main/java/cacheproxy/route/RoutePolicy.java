package cacheproxy.route;

/**
 * Limits that hold for the requests of the routes that name it, beside those of the settings: the narrower holds.
 *
 * @param name its name; empty for the settings' own
 * @param deadlineMs the longest that a request may wait; infinite: as long as its client does
 * @param attempts at how many servers it may be tried in all, over both pools; at least 1
 * @param retryShare further attempts as a part of all requests, 0 to 1 and more; infinite: not bounded
 * @param retryFloor further attempts a second that are allowed however few requests there are
 * @param copies whether a second attempt may go out while the first is out
 * @param turnAway what is refused at once
 * @param maxOpen more requests than this at a time are refused at once
 * @param retryAfterMs when those that are refused by this policy are told to come back
 */
public record RoutePolicy(
        String name,
        double deadlineMs,
        int attempts,
        double retryShare,
        double retryFloor,
        boolean copies,
        TurnAway turnAway,
        int maxOpen,
        double retryAfterMs) {
    /** Which requests are refused at once. */
    public enum TurnAway {
        NOTHING,
        READS,
        WRITES,
        ALL
    }

    /** The settings' own. */
    public static final RoutePolicy NONE = new RoutePolicy(
            "",
            Double.POSITIVE_INFINITY,
            Integer.MAX_VALUE,
            Double.POSITIVE_INFINITY,
            0,
            true,
            TurnAway.NOTHING,
            Integer.MAX_VALUE,
            0);

    /** Checks the ranges. */
    public RoutePolicy {
        if (!(deadlineMs > 0)
                || attempts < 1
                || !(retryShare >= 0)
                || !(retryFloor >= 0)
                || maxOpen < 0
                || !(retryAfterMs >= 0)) {
            throw new IllegalArgumentException("policy " + name + " is out of range");
        }
    }

    boolean turnsAway(boolean write) {
        return turnAway == TurnAway.ALL || turnAway == (write ? TurnAway.WRITES : TurnAway.READS);
    }
}

package cacheproxy.membership;

/** Which part of the configured fleet an instance can hear, itself among it. */
public enum Reachability {
    /** Nobody else, though there are others. */
    ALONE,
    /** At most half. */
    MINORITY,
    /** More than half. */
    MAJORITY,
    /** All. */
    ALL;

    static Reachability of(int heard, int all) {
        return heard >= all ? ALL : heard <= 1 ? ALONE : 2 * heard > all ? MAJORITY : MINORITY;
    }
}

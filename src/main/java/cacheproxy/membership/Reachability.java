package cacheproxy.membership;

/** Which part of the configured fleet an instance can reach, itself among it. */
public enum Reachability {
    /** No other, though there are others. */
    ALONE,
    /** At most half. */
    MINORITY,
    /** More than half. */
    MAJORITY,
    /** All. */
    ALL;

    /** Of so many members that are reached, of all. */
    static Reachability of(int reached, int all) {
        if (reached >= all) {
            return ALL;
        }
        if (reached <= 1) {
            return ALONE;
        }
        return 2 * reached > all ? MAJORITY : MINORITY;
    }
}

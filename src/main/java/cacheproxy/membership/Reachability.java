package cacheproxy.membership;

/** Which part of the configured fleet an instance can reach, including itself. */
public enum Reachability {
    /** None of the other instances, although there are some. */
    ALONE,
    /** At most half of the fleet. */
    MINORITY,
    /** More than half of the fleet, but not all. */
    MAJORITY,
    /** The whole fleet. */
    ALL;

    /** Returns the reachability for a number of reached members out of all. */
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

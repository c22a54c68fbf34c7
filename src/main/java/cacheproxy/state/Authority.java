package cacheproxy.state;

/** The authority behind a stored record. */
public enum Authority {
    /** This instance observed it itself. */
    OBSERVED("seen"),
    /** The instances of the fleet decided it together. */
    FLEET("fleet"),
    /** An operator ordered it. */
    OPERATOR("operator"),
    /** Discovery sent it. */
    DISCOVERY("discovery"),
    /** This instance itself: it is its own number, which no one else knows better. */
    SELF("self");

    private final String wireName;

    Authority(String wireName) {
        this.wireName = wireName;
    }

    /** Its name in reports. */
    public String wireName() {
        return wireName;
    }
}

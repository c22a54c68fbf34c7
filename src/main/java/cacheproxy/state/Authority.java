package cacheproxy.state;

/** Whose word a record is; what is told by a later one of the same or a higher authority takes its place. */
public enum Authority {
    /** What this instance has met itself. */
    OBSERVED("seen"),
    /** What it decided on with the fleet. */
    FLEET("fleet"),
    /** What an operator ordered. */
    OPERATOR("operator"),
    /** What discovery told. */
    DISCOVERY("discovery"),
    /** What it is, and nobody else knows better. */
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

package cacheproxy.routing;

/** The endpoints that drop duplicates of a request with an idempotency key. */
public enum DeduplicationScope {
    /** All endpoints of the list. */
    ALL("all"),
    /** The endpoints in the zone of the first attempt. */
    ZONE("zone"),
    /** The endpoints in the cell of the first attempt. */
    CELL("cell");

    private final String wireName;

    DeduplicationScope(String wireName) {
        this.wireName = wireName;
    }

    /** The value in settings ({@code classes.N.group}). */
    public String wireName() {
        return wireName;
    }
}

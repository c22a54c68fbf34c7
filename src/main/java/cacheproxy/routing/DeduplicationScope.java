package cacheproxy.routing;

/** The endpoints that drop a repeat of a request with an idempotency key. */
public enum DeduplicationScope {
    /** All endpoints of the list. */
    ALL("all"),
    /** Those of the zone of the first attempt. */
    ZONE("zone"),
    /** Those of the cell of the first attempt. */
    CELL("cell");

    private final String wireName;

    DeduplicationScope(String wireName) {
        this.wireName = wireName;
    }

    /** Its word in settings ({@code classes.N.group}). */
    public String wireName() {
        return wireName;
    }
}

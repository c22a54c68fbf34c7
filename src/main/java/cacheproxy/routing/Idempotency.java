package cacheproxy.routing;

/** How often a request may take effect, and so whether it may be sent once more when an attempt may have run. */
public enum Idempotency {
    /** Any number of times: a repeat does no harm. */
    IDEMPOTENT("retryable"),
    /** Once: it carries an idempotency key, by which a group of endpoints drops repeats within a window. */
    KEYED("dedup"),
    /** Once, and nothing drops a repeat. */
    NON_IDEMPOTENT("fragile");

    private final String wireName;

    Idempotency(String wireName) {
        this.wireName = wireName;
    }

    /** Its word in settings ({@code classes.N.idempotency}). */
    public String wireName() {
        return wireName;
    }
}

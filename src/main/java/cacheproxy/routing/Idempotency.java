package cacheproxy.routing;

/**
 * How often a request may be executed, and so whether it may be retried after an attempt that may have been executed.
 */
public enum Idempotency {
    /** Any number of times: a retry is safe. */
    IDEMPOTENT("retryable"),
    /** Once; it carries an idempotency key, by which a group of endpoints drops duplicates within a time window. */
    KEYED("dedup"),
    /** Once, and duplicates are not dropped. */
    NON_IDEMPOTENT("fragile");

    private final String wireName;

    Idempotency(String wireName) {
        this.wireName = wireName;
    }

    /** The value in settings ({@code classes.N.idempotency}). */
    public String wireName() {
        return wireName;
    }
}

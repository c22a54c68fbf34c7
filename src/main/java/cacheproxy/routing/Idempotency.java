package cacheproxy.routing;

/** How often a request may take effect. */
public enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT
}

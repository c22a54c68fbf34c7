package cacheproxy.routing;

/** What an update of the endpoint list contains. */
public enum EndpointUpdateKind {
    /** The complete list, from discovery. */
    SNAPSHOT,
    /** Changes of the list, from discovery. */
    DELTA,
    /** The complete list, from a cache that was written before this process started. */
    CACHED,
    /** A discovery call failed; there are no entries. */
    FAILED,
    /** Changes from peers, or the reversal of such changes; not a response to a discovery call. */
    PROVISIONAL;

    /** Whether it lists all endpoints, so that unlisted ones are removed. */
    public boolean isSnapshot() {
        return this == SNAPSHOT || this == CACHED;
    }
}

package cacheproxy.routing;

/** What an update of the endpoint list carries. */
public enum EndpointUpdateKind {
    /** The complete list, from discovery. */
    SNAPSHOT,
    /** Changes of it, from discovery. */
    DELTA,
    /** The complete list as it was cached before a start. */
    CACHED,
    /** A call for the list failed; no entries. */
    FAILED,
    /** Changes that peers were notified of, or that are undone again; no answer to a call. */
    PROVISIONAL;

    /** Whether it names all endpoints, so that others are gone. */
    public boolean isSnapshot() {
        return this == SNAPSHOT || this == CACHED;
    }
}

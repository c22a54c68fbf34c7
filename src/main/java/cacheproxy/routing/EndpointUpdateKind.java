package cacheproxy.routing;

/**
 * What a list event carries. {@code FAILED}: a call for the list failed, no entries. {@code PROVISIONAL}: changes that
 * peers were told or that are undone again, no answer to a call.
 */
public enum EndpointUpdateKind {
    SNAPSHOT,
    DELTA,
    CACHED,
    FAILED,
    PROVISIONAL;

    /** Whether it names all servers, so that others are gone. */
    public boolean isSnapshot() {
        return this == SNAPSHOT || this == CACHED;
    }
}

package cacheproxy.routing;

/** State of a server on the list. */
public enum EndpointState {
    REMOVED,
    DRAINING,
    READY
}

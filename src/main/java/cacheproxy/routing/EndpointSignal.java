package cacheproxy.routing;

/** What the module has met at a server: an answer in time, one that says that it lacks the key, or none in time. */
public enum EndpointSignal {
    RESPONDED,
    CACHE_MISS,
    UNRESPONSIVE
}

package cacheproxy.routing;

/** What an attempt has shown of an endpoint. */
public enum EndpointSignal {
    /** It answered. */
    RESPONDED,
    /** It answered that it lacks the object. */
    CACHE_MISS,
    /** It gave no answer in time. */
    UNRESPONSIVE
}

package cacheproxy.routing;

/** What an attempt reveals about an endpoint. */
public enum EndpointSignal {
    /** It responded. */
    RESPONDED,
    /** It responded that it does not have the object. */
    CACHE_MISS,
    /** It did not respond in time. */
    UNRESPONSIVE
}

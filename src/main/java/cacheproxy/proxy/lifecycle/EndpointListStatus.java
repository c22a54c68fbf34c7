package cacheproxy.proxy.lifecycle;

/**
 * How fresh the endpoint list is.
 *
 * @param version discovery's version of the list in use
 * @param ageMs milliseconds since discovery last answered, with or without changes; NaN if it has not answered yet
 */
public record EndpointListStatus(long version, double ageMs) {}

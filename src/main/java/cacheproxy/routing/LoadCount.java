package cacheproxy.routing;

/**
 * Load on a backend, both counts decaying.
 *
 * @param requested requests sent to it
 * @param completedInTime those of them that were answered within their latency objective
 */
public record LoadCount(double requested, double completedInTime) {}

package cacheproxy.routing;

/**
 * The load on a backend, as decaying counts.
 *
 * @param requested the requests sent to it
 * @param completedInTime those that were completed within their latency objective
 */
public record LoadCount(double requested, double completedInTime) {}

package cacheproxy.routing;

/**
 * A tenant.
 *
 * @param share its fraction of all requests, 0 to 1
 * @param quotaPerSecond its quota of requests per second, over all instances
 */
public record Tenant(String name, double share, double quotaPerSecond) {}

package cacheproxy.routing;

/**
 * A tenant.
 *
 * @param share its part of all requests, 0 to 1
 * @param quotaPerSecond the requests a second, over all instances, that are within its quota
 */
public record Tenant(String name, double share, double quotaPerSecond) {}

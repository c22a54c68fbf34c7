package cacheproxy.routing;

/** A tenant and the rate, over all instances, that is within its share. */
public record Tenant(String name, double share, double quotaPerSecond) {}

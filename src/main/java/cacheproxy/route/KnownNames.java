package cacheproxy.route;

import java.util.List;

/**
 * The names that an instance knows, and that pools and routes may use.
 *
 * @param classes service classes
 * @param tenants tenants; empty where requests are not told apart by tenant
 * @param sites sites of endpoints
 * @param kinds kinds of endpoints
 */
public record KnownNames(List<String> classes, List<String> tenants, List<String> sites, List<String> kinds) {}

package cacheproxy.route;

import java.util.Set;

/**
 * The attributes by which pools select an endpoint.
 *
 * @param host its name
 * @param site the name of the site where it is located
 * @param kind the name of its kind
 * @param labels its labels; empty if it has none
 */
public record EndpointAttributes(String host, String site, String kind, Set<String> labels) {}

package cacheproxy.route;

import java.util.Set;

/**
 * What pools select an endpoint by.
 *
 * @param host its name
 * @param site the name of the site where it stands
 * @param kind the name of its kind
 * @param labels those that it carries; none is an empty set
 */
public record EndpointAttributes(String host, String site, String kind, Set<String> labels) {}

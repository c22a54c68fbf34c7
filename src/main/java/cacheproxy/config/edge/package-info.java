/**
 * The sections of edge configurations: {@code pool}, {@code policy} and {@code route}, which are converted to
 * {@link cacheproxy.route.Routing}, and {@code quotas}. Also reports which traffic a change affects, and explains how a
 * request is routed. Pools select endpoints of the endpoint list, which messages and help texts call servers. Sections
 * of other subsystems are defined in their own packages.
 */
package cacheproxy.config.edge;

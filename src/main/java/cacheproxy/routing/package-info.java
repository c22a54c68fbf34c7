/**
 * Selects the endpoint for each request and decides whether to retry, hedge, coalesce or reject it.
 * {@link cacheproxy.routing.LoadBalancer} receives events, {@link cacheproxy.routing.CarpLoadBalancer} makes the
 * decisions, and {@link cacheproxy.routing.RoutingActions} carries them out. The package uses no sockets, files,
 * threads or clocks. An endpoint is an entry of the endpoint list, a cache node or the origin; the server at the far
 * end of a connection is not known here.
 */
package cacheproxy.routing;

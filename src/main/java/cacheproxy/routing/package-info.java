/**
 * Which endpoint serves a request, and whether to retry, hedge, coalesce or reject:
 * {@link cacheproxy.routing.LoadBalancer} receives events, {@link cacheproxy.routing.CarpLoadBalancer} decides, and
 * {@link cacheproxy.routing.RoutingActions} takes the orders. Decisions without sockets, files, threads or clocks.
 */
package cacheproxy.routing;

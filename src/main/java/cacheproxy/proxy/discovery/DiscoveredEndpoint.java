package cacheproxy.proxy.discovery;

import cacheproxy.route.EndpointAttributes;
import cacheproxy.routing.Endpoint;
import java.net.SocketAddress;

/**
 * An entry of the endpoint list, as its users need it.
 *
 * @param endpoint as the load balancer knows it
 * @param address where it accepts connections
 * @param attributes what pools select it by
 */
public record DiscoveredEndpoint(Endpoint endpoint, SocketAddress address, EndpointAttributes attributes) {}

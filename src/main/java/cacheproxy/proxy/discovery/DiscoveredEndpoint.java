package cacheproxy.proxy.discovery;

import cacheproxy.route.EndpointAttributes;
import cacheproxy.routing.Endpoint;
import java.net.SocketAddress;

/**
 * An entry of the endpoint list, decoded.
 *
 * @param endpoint the load balancer's view of it
 * @param address where it accepts connections
 * @param attributes the attributes by which pools select it
 */
public record DiscoveredEndpoint(Endpoint endpoint, SocketAddress address, EndpointAttributes attributes) {}

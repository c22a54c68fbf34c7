package cacheproxy.proxy.discovery;

import cacheproxy.route.EndpointAttributes;
import cacheproxy.routing.Endpoint;
import java.net.SocketAddress;

/**
 * An entry of the list.
 *
 * @param endpoint for the decision module
 * @param address where it listens
 * @param attributes what pools select it by
 */
public record DiscoveredEndpoint(Endpoint endpoint, SocketAddress address, EndpointAttributes attributes) {}

package cacheproxy.proxy.discovery;

import cacheproxy.route.Pool;
import cacheproxy.routing.Endpoint;
import java.net.SocketAddress;

/**
 * An entry of the list.
 *
 * @param endpoint for the decision module
 * @param address where it listens
 * @param poolMember what pools select it by
 */
public record DiscoveredEndpoint(Endpoint endpoint, SocketAddress address, Pool.Server poolMember) {}

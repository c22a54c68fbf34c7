package cacheproxy.proxy.discovery;

import cacheproxy.route.Pool;
import cacheproxy.routing.Endpoint;
import java.net.SocketAddress;

/**
 * An entry of the list.
 *
 * @param member for the decision module
 * @param dial where it listens
 * @param server what pools select it by
 */
public record Host(Endpoint member, SocketAddress dial, Pool.Server server) {}

/**
 * The core of a proxy instance: requests and their attempts, and what connects the load balancer with servers,
 * discovery and peers. {@link cacheproxy.proxy.Dispatcher} creates the parts and is where to begin. The subpackages
 * hold the connections of clients and servers, discovery, peers, and the lifecycle of the process.
 *
 * <p>A server is the far end of a connection; an endpoint is an entry of the endpoint list, as decisions see it. Both
 * have the same id.
 */
package cacheproxy.proxy;

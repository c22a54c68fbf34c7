/**
 * The transport to service discovery: polls for the endpoint list over HTTP/1.1, the codec of lists, and what publishes
 * the list to the core. When to poll is decided in {@link cacheproxy.endpoints}. Knows nothing of requests and clients;
 * {@link cacheproxy.proxy.discovery.DiscoveryClient} is where to begin.
 */
package cacheproxy.proxy.discovery;

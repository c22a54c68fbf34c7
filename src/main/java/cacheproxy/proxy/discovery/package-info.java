/**
 * The transport to service discovery: polls for the endpoint list over HTTP/1.1, the codec of lists, and the publisher
 * of the list to the core. When to poll is decided in {@link cacheproxy.endpoints}. Independent of requests and
 * clients. Start reading at {@link cacheproxy.proxy.discovery.DiscoveryClient}.
 */
package cacheproxy.proxy.discovery;

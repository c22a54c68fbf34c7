/**
 * Connections and codecs towards cache nodes and the origin: pools, limits, and the outcomes of attempts. A server is
 * the far end of connections; an endpoint is its entry in the endpoint list. Depends on the dispatcher only through
 * {@link cacheproxy.proxy.upstream.UpstreamContext} and {@link cacheproxy.proxy.upstream.UpstreamAttempt}. Event loop
 * only.
 */
package cacheproxy.proxy.upstream;

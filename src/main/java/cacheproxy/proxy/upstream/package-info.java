/**
 * Connections and codecs towards cache nodes and the origin: pools, limits, and what becomes of attempts on them. Knows
 * the core only by {@link cacheproxy.proxy.upstream.UpstreamContext} and
 * {@link cacheproxy.proxy.upstream.UpstreamAttempt}. Event loop only.
 */
package cacheproxy.proxy.upstream;

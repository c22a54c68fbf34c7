/**
 * Datagrams between the proxies of a tier: the socket, its codec's kinds, and the links that carry out what the
 * decision packages order of it. Knows nothing of requests and clients; what it needs of the core is passed in.
 */
package cacheproxy.proxy.peer;

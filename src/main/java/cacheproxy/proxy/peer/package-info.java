/**
 * Datagrams between the proxies of a tier: the socket, the kinds of messages, and the links that do the I/O for the
 * packages that make the decisions. Independent of requests and clients; its interfaces to the core are passed in.
 */
package cacheproxy.proxy.peer;

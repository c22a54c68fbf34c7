/**
 * Flow control: what bounds the bytes that the proxy buffers and how long a client may take. No sockets, threads or
 * clocks.
 */
package cacheproxy.flow;

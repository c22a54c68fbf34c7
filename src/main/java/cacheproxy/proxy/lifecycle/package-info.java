/**
 * How an instance starts, takes over, reloads its configuration, drains and shuts down. A server is the far end of a
 * connection; an endpoint is an entry of the endpoint list.
 */
package cacheproxy.proxy.lifecycle;

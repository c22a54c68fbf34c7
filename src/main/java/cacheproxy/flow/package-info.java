/** What bounds the bytes that are in the proxy's hands at a time: decisions without sockets, threads or clocks. */
package cacheproxy.flow;

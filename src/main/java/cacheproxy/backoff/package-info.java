/** How long to wait after failures in a row. Decisions without sockets, threads or clocks. */
package cacheproxy.backoff;

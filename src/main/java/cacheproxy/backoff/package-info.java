/** Retry delays after consecutive failures. Pure calculations without sockets, threads or clocks. */
package cacheproxy.backoff;

/**
 * When and how an instance stops serving: a state machine that is told the time and what is still open, and gives
 * orders. No sockets, threads or clocks; {@code proxy.Drainer} carries the orders out.
 */
package cacheproxy.drain;

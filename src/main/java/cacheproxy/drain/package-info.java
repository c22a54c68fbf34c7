/**
 * When and how an instance drains: a state machine that is told the time and what is still open, and returns what to
 * do. No sockets, threads or clocks; {@code proxy.lifecycle.DrainCoordinator} carries the orders out.
 */
package cacheproxy.drain;

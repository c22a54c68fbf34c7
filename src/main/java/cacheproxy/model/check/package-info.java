/**
 * Model checking of decision packages: all states that a small system can reach by all orders of its moves, breadth
 * first, over the real classes. No sockets, threads or clocks.
 */
package cacheproxy.model.check;

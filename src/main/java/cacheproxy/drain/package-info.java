/**
 * Draining of an instance: a state machine whose inputs are the time and the open work and whose outputs are the
 * actions to perform. No sockets, threads or clocks; {@code proxy.lifecycle.DrainCoordinator} performs the actions.
 */
package cacheproxy.drain;

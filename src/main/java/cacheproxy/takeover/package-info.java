/**
 * Takeover of a serving process by a new process: a state machine for each of the two, which handles events and returns
 * the actions to perform. No sockets, threads or clocks; {@code proxy.lifecycle.HandoverServer} and
 * {@code proxy.lifecycle.TakeoverClient} perform the I/O.
 */
package cacheproxy.takeover;

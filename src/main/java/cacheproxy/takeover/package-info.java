/**
 * How a new process takes over from the one that serves: a state machine for each of the two, which is told of events
 * and returns what to do. No sockets, threads or clocks; {@code proxy.lifecycle.HandoverServer} and
 * {@code proxy.lifecycle.TakeoverClient} carry it out.
 */
package cacheproxy.takeover;

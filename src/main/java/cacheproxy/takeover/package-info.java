/**
 * How a new process takes over from the one that serves: two state machines that are told what has happened and say
 * what to do. No sockets, threads or clocks; {@code proxy.HandoverLink} and {@code proxy.TakeoverLink} carry it out.
 */
package cacheproxy.takeover;

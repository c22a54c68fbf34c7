/**
 * A fleet of stand-ins with real proxies, as processes of their own, in front of it: what {@code demo} and
 * {@code fleet} start. May use {@code emulator} and {@code load}; meets the proxies by their published protocol, their
 * configuration, signals and control sockets, not by their classes.
 */
package cacheproxy.demo;

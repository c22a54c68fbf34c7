/**
 * An emulated fleet with real proxy processes in front of it, as the commands {@code demo} and {@code fleet} start it.
 * May use {@code emulator} and {@code load}; controls the proxies by their published protocol, configuration, signals
 * and control sockets, not by their classes.
 */
package cacheproxy.demo;

/**
 * Emulates the proxy's environment on loopback: cache nodes, the origin, discovery and the front layer, with scheduled
 * fault injection and an oracle that checks a run.
 *
 * <p>The package implements the protocols and shares no code with the proxy, so that a parser bug in the proxy can't be
 * masked by the same bug here. The logic (a node's core, its warm-up, its cache, the host list, the oracle) is in
 * classes without I/O that take the time as an argument; the classes that own sockets only execute it. Each emulated
 * fleet runs on a single event loop. The package may use Netty and Gson, but not {@code proxy}, the decision classes,
 * {@code simulator}, {@code load}, {@code demo} or {@code cli}.
 */
package cacheproxy.emulator;

/**
 * Stand-ins for everything around the proxy, on loopback: cache nodes, the origin, discovery and the front layer, with
 * timed faults and an oracle that a run is checked against.
 *
 * <p>The package knows the protocols and not the proxy: it shares no code with what it tests, so that a mistake in the
 * proxy's grammar can't hide behind the same mistake here. What is decided here (a node's core, its ramp, its memory,
 * the roster, the oracle) stands in classes without I/O that take the time as an argument; what owns a socket only
 * carries it out. All of one fleet runs on one event loop. It may use Netty and Gson; {@code proxy}, the decision
 * files, {@code simulator}, {@code load}, {@code demo} and {@code cli} are out of bounds.
 */
package cacheproxy.emulator;

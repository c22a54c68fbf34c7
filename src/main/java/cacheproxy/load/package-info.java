/**
 * The open-loop load generator: the schedule of requests ({@link cacheproxy.load.Workload} and its implementations,
 * without network I/O), the sender ({@link cacheproxy.load.Generator}), the measurements
 * ({@link cacheproxy.load.Recorder}) and their output ({@link cacheproxy.load.Report} and its writers).
 *
 * <p>A request's latency is measured from its <em>scheduled</em> send time, which does not depend on the target. May
 * use {@code emulator.meta} and the key space of {@code emulator}, Netty, HdrHistogram and Gson; must not depend on
 * {@code proxy}, {@code demo} or {@code cli}.
 */
package cacheproxy.load;

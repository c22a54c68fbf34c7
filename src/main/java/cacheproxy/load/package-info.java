/**
 * The open-loop load generator: when requests are meant to go out and what they ask ({@link cacheproxy.load.Workload}
 * and what it is made of, without I/O), who sends them ({@link cacheproxy.load.Generator}), what is counted
 * ({@link cacheproxy.load.Recorder}) and how it is shown ({@link cacheproxy.load.Report} and its writers).
 *
 * <p>A request's latency counts from the time at which it was <em>meant</em> to be sent; nothing that the target does
 * moves that time. May use {@code emulator.meta} and the key space of {@code emulator}, Netty, HdrHistogram and Gson;
 * knows nothing of {@code proxy}, {@code demo} or {@code cli}.
 */
package cacheproxy.load;

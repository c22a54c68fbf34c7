/**
 * Metrics of one process, their form as a line of its log, the sums over a fleet, and the kinds of logged events. Pure:
 * {@code proxy.MetricsLog} writes the lines, and the command {@code figures} reads them.
 */
package cacheproxy.metrics;

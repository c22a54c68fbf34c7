/**
 * Metrics of one process, their format as a log line, their aggregation over a fleet, and the kinds of log events.
 * Pure: {@code proxy.MetricsLog} writes the lines, and the {@code figures} command reads them. An endpoint is an entry
 * of the endpoint list; a server is the far end of a connection.
 */
package cacheproxy.metrics;

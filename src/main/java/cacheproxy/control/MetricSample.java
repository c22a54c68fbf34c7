package cacheproxy.control;

/**
 * The current value of a metric.
 *
 * @param name the name, its parts joined by dots
 * @param kind the kind of the metric
 * @param value a non-negative integer
 */
public record MetricSample(String name, Kind kind, long value) {
    /** The kinds of metrics. */
    public enum Kind {
        /** The number of events since the process started. */
        COUNTER,
        /** A current amount. */
        GAUGE
    }
}

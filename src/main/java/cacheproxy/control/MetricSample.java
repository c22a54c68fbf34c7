package cacheproxy.control;

/**
 * The present value of one metric.
 *
 * @param name its parts joined by dots
 * @param kind what it counts
 * @param value a whole number, 0 or more
 */
public record MetricSample(String name, Kind kind, long value) {
    /** What a metric counts. */
    public enum Kind {
        /** How often something has happened since the process started. */
        COUNTER,
        /** How much there is now. */
        GAUGE
    }
}

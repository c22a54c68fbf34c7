package cacheproxy.control;

/**
 * One figure that a proxy reports.
 *
 * @param name its parts joined by points
 * @param kind whether it only grows
 * @param value a whole number, 0 or more
 */
public record MetricSample(String name, Kind kind, long value) {
    /** What a figure tells. */
    public enum Kind {
        /** How often something has happened since the process began. */
        COUNT,
        /** How much there is now. */
        GAUGE
    }
}

package cacheproxy.routing;

/** How endpoints deliver load reports. */
public enum LoadReportSource {
    /** No load reports. */
    NONE("silent"),
    /** With responses. */
    WITH_RESPONSES("piggyback"),
    /** With health check results. */
    BY_HEALTH_CHECK("pull");

    private final String wireName;

    LoadReportSource(String wireName) {
        this.wireName = wireName;
    }

    /** The value in settings ({@code report.how}). */
    public String wireName() {
        return wireName;
    }
}

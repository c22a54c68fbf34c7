package cacheproxy.routing;

/** Where load reports of endpoints come from. */
public enum LoadReportSource {
    /** There are none. */
    NONE("silent"),
    /** They come with responses. */
    WITH_RESPONSES("piggyback"),
    /** They come with the results of health checks. */
    BY_HEALTH_CHECK("pull");

    private final String wireName;

    LoadReportSource(String wireName) {
        this.wireName = wireName;
    }

    /** Its word in settings ({@code report.how}). */
    public String wireName() {
        return wireName;
    }
}

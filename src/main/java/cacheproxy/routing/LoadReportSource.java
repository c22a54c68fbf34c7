package cacheproxy.routing;

/** Where load reports come from. */
public enum LoadReportSource {
    NONE,
    WITH_RESPONSES,
    BY_HEALTH_CHECK
}

package cacheproxy.routing;

import java.util.List;

/** The settings that decisions rest on. Times in milliseconds; shares, and capacity at the start, from 0 to 1. */
public record RoutingSettings(
        int instanceIndex,
        int instanceCount,
        int zone,
        int zoneCount,
        int kindCount,
        boolean pollsDiscovery,
        boolean cacheAside,
        int originKind,
        LoadReportSource loadReportSource,
        List<String> loadReportFields,
        boolean priorityByWork,
        double overQuotaPriorityWeight,
        boolean cancellationAllowed,
        boolean healthChecksAllowed,
        boolean peerMessagesAllowed,
        boolean hedgingAllowed,
        boolean retryAfterSupported,
        int maxAttempts,
        double maxRetryAfterMs,
        double connectTimeoutMs,
        double drainGraceMs,
        double finalAnswerGraceMs,
        double initialCapacity,
        double warmUpMs,
        double overloadMultiple,
        double overloadWindowMs,
        double pollIntervalMs,
        double originOverloadMultiple,
        double originOverloadWindowMs,
        List<ServiceClass> classes,
        List<Tenant> tenants) {
    /** A seed of this instance's own: a release may start all of them with one. */
    public long instanceSeed(long seed) {
        return seed + instanceIndex * 0x9e3779b97f4a7c15L;
    }
}

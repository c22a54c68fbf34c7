package cacheproxy.routing;

import java.util.List;

/**
 * The settings for an instance's decisions. Indices start at 0. No decision uses the grace periods, the origin overload
 * or {@code priorityByWork} so far; they are read so that invalid values are reported.
 *
 * @param instanceIndex this instance's index in the fleet
 * @param instanceCount the number of instances in the fleet
 * @param zone the index of this instance's zone
 * @param zoneCount the number of zones
 * @param kindCount the number of kinds of endpoints
 * @param pollsDiscovery whether this instance must call discovery to get changes of the endpoint list
 * @param cacheAside whether this instance fetches missing objects from the origin; otherwise endpoints do so themselves
 * @param originKind the kind of the origin's entry in the endpoint list if cacheAside; -1 for none
 * @param loadReportSource how load reports are delivered
 * @param loadReportFields the names of the values in a load report, in order
 * @param priorityByWork whether the value of an answer grows with the processing cost of its request
 * @param overQuotaPriorityWeight the value of a request over its tenant's quota, as a fraction of its class's, 0 to 1
 * @param cancellationAllowed whether attempts may be cancelled
 * @param healthChecksAllowed whether health checks may be started
 * @param peerMessagesAllowed whether instances may send each other messages
 * @param hedgingAllowed whether two attempts of a request may be in flight
 * @param retryAfterSupported whether rejected clients are told when to retry
 * @param maxAttempts the most attempts of a request, 1 or more
 * @param maxRetryAfterMs the longest delay that clients are told, in milliseconds
 * @param connectTimeoutMs the time after which an attempt without a connection ends, in milliseconds
 * @param drainGraceMs how long requests may still be sent to an endpoint after it is listed as draining, in
 *     milliseconds
 * @param finalAnswerGraceMs how long after the deadline a final answer is still valid, in milliseconds
 * @param initialCapacity the capacity of an endpoint that has just started, as a fraction of its full capacity, 0 to 1
 * @param warmUpMs the time after which it has its full capacity at the latest, in milliseconds
 * @param overloadMultiple the multiple of its present capacity above which an endpoint in warm-up is overloaded
 * @param overloadWindowMs how long it must be overloaded to collapse, in milliseconds
 * @param pollIntervalMs the time within which an instance without a subscription must call discovery, in milliseconds
 * @param originOverloadMultiple the multiple of its capacity above which the origin is overloaded; 0 for no limit
 * @param originOverloadWindowMs how long the origin must be overloaded to fail, in milliseconds
 * @param classes the service classes, one or more
 * @param tenants the tenants; empty if requests are not assigned to tenants
 */
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
    /** Derives a seed for this instance from one that all instances may share. */
    public long instanceSeed(long seed) {
        return seed + instanceIndex * 0x9e3779b97f4a7c15L;
    }
}

package cacheproxy.routing;

import java.util.List;

/**
 * The settings that an instance is given for its decisions. Indices count from 0. No decision uses the graces, the
 * origin's overload or {@code priorityByWork} so far: they are read so that a wrong value is found.
 *
 * @param instanceIndex this instance's index in the fleet
 * @param instanceCount how many instances the fleet has
 * @param zone the index of this instance's zone
 * @param zoneCount how many zones there are
 * @param kindCount how many kinds of endpoints there are
 * @param pollsDiscovery whether changes of the endpoint list come only after a call for them
 * @param cacheAside whether this instance fetches what endpoints lack from the origin; they do so themselves otherwise
 * @param originKind the kind of the origin's entry in the endpoint list, where cacheAside; -1 for none
 * @param loadReportSource where load reports come from
 * @param loadReportFields the names of a load report's values, in their order
 * @param priorityByWork whether the value of an answer grows with the work of its request
 * @param overQuotaPriorityWeight the value of a request over its tenant's quota, as a part of its class's, 0 to 1
 * @param cancellationAllowed whether attempts may be cancelled
 * @param healthChecksAllowed whether health checks may be ordered
 * @param peerMessagesAllowed whether instances may send each other messages
 * @param hedgingAllowed whether two attempts of a request may be in flight
 * @param retryAfterSupported whether clients are told when to come back
 * @param maxAttempts of a request, 1 or more
 * @param maxRetryAfterMs how long clients wait at most, in milliseconds
 * @param connectTimeoutMs after which an attempt that has no connection ends, in milliseconds
 * @param drainGraceMs after an endpoint is listed as draining, requests may still be sent to it, in milliseconds
 * @param finalAnswerGraceMs after the deadline, a final answer still counts, in milliseconds
 * @param initialCapacity of an endpoint that has just started, as a part of its own, 0 to 1
 * @param warmUpMs after which it has its full capacity at the latest, in milliseconds
 * @param overloadMultiple of its present capacity, beyond which an endpoint that warms up is overloaded
 * @param overloadWindowMs for how long it must be, to collapse, in milliseconds
 * @param pollIntervalMs within which an instance without a subscription has to call for the list, in milliseconds
 * @param originOverloadMultiple of its capacity, beyond which the origin is overloaded; 0 for no such limit
 * @param originOverloadWindowMs for how long it must be, to stop, in milliseconds
 * @param classes the classes of requests, one or more
 * @param tenants the tenants; none where all requests are alike
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
    /** A seed of this instance's own from one that all instances may share. */
    public long instanceSeed(long seed) {
        return seed + instanceIndex * 0x9e3779b97f4a7c15L;
    }
}

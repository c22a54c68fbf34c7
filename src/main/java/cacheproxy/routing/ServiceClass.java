package cacheproxy.routing;

/**
 * A class of requests that are treated alike.
 *
 * @param idempotency how often a request may be executed
 * @param deduplicationScope the endpoints that drop duplicates of a request with an idempotency key
 * @param deduplicationWindowMs how long after the first attempt they drop duplicates, in milliseconds
 * @param latencyObjectiveMs the time within which an answer has its full value, in milliseconds from arrival
 * @param timeoutMs the typical time after which a client stops waiting, in milliseconds from arrival
 * @param priorityWeight the value of an answer within the latency objective
 * @param lateValueShare the fraction of that value which a later answer has, 0 to 1
 * @param streamed whether responses may be streamed
 */
public record ServiceClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double timeoutMs,
        double priorityWeight,
        double lateValueShare,
        boolean streamed) {}

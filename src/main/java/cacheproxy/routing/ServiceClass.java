package cacheproxy.routing;

/**
 * A class of requests, whose terms all of them share.
 *
 * @param idempotency how often one may take effect
 * @param deduplicationScope the endpoints that drop a repeat of a request with an idempotency key
 * @param deduplicationWindowMs for how long after the first attempt they do, in milliseconds
 * @param latencyObjectiveMs within which an answer has its full value, in milliseconds from the arrival
 * @param timeoutMs the usual time until a client stops waiting, in milliseconds from the arrival
 * @param priorityWeight the value of an answer within the objective
 * @param lateValueShare the part of that which a later answer has, 0 to 1
 * @param streamed whether answers may be streamed
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

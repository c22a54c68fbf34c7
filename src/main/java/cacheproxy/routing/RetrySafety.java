package cacheproxy.routing;

/**
 * Whether another attempt of a request is safe when an earlier attempt may have been executed, given the request's
 * service class (rule 2 of the protocol page). The only code that evaluates idempotency, deduplication scope and
 * window.
 *
 * <p>Evaluated twice: {@link RetryPolicy} evaluates it when an attempt is planned, for the latest time at which the
 * attempt can reach its endpoint; {@code SafetyRules} of package admission evaluates it when the attempt is written,
 * for that time.
 */
public enum RetrySafety {
    /** The request is executed no more often than its service class allows. */
    SAFE,
    /** The request is not idempotent, and no endpoint drops duplicates. */
    NOT_IDEMPOTENT,
    /** The endpoint is not among those that drop duplicates of the earlier attempt. */
    OUTSIDE_DEDUPLICATION_SCOPE,
    /** Duplicates of the earlier attempt are no longer dropped. */
    DEDUPLICATION_WINDOW_EXPIRED;

    /**
     * Whether another attempt is safe.
     *
     * @param serviceClass the request's service class
     * @param earlierSentMs when the earlier attempt was sent, in milliseconds
     * @param earlierLocation the location of the earlier attempt's endpoint
     * @param retryMs the time to evaluate for, in milliseconds on the same clock
     * @param retryLocation the location of the other attempt's endpoint
     */
    public static RetrySafety of(
            ServiceClass serviceClass,
            double earlierSentMs,
            EndpointLocation earlierLocation,
            double retryMs,
            EndpointLocation retryLocation) {
        return switch (serviceClass.idempotency()) {
            case IDEMPOTENT -> SAFE;
            case NON_IDEMPOTENT -> NOT_IDEMPOTENT;
            case KEYED -> {
                if (!isSameScope(serviceClass.deduplicationScope(), earlierLocation, retryLocation)) {
                    yield OUTSIDE_DEDUPLICATION_SCOPE;
                }
                yield retryMs < earlierSentMs + serviceClass.deduplicationWindowMs()
                        ? SAFE
                        : DEDUPLICATION_WINDOW_EXPIRED;
            }
        };
    }

    private static boolean isSameScope(DeduplicationScope scope, EndpointLocation a, EndpointLocation b) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.cell() == b.cell();
        };
    }
}

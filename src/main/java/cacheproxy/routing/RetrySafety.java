package cacheproxy.routing;

/**
 * Whether one more attempt of a request, an earlier attempt of which may have taken effect, keeps to what the request's
 * class allows (rule 2 of the protocol page). The one place that knows idempotency, deduplication scope and window.
 *
 * <p>It is asked at two moments, for two reasons: {@link RetryPolicy} asks when an attempt is planned, for the moment
 * at which it can reach its endpoint at the latest; {@code SafetyRules} of admission asks for the moment at which the
 * attempt is written, when that moment is known.
 */
public enum RetrySafety {
    /** It takes effect no more often than its class allows. */
    SAFE,
    /** Nothing drops a repeat. */
    NOT_IDEMPOTENT,
    /** The endpoint isn't one of those that drop a repeat of the earlier attempt. */
    OUTSIDE_DEDUPLICATION_SCOPE,
    /** Repeats are no longer dropped. */
    DEDUPLICATION_WINDOW_EXPIRED;

    /**
     * Whether a repeat is safe.
     *
     * @param serviceClass of the request
     * @param earlierSentMs when the earlier attempt was sent, in milliseconds
     * @param earlierAt where it was sent
     * @param repeatMs the moment for which this is asked, in milliseconds on the same clock
     * @param repeatAt where the repeat goes
     */
    public static RetrySafety of(
            ServiceClass serviceClass,
            double earlierSentMs,
            EndpointLocation earlierAt,
            double repeatMs,
            EndpointLocation repeatAt) {
        return switch (serviceClass.idempotency()) {
            case IDEMPOTENT -> SAFE;
            case NON_IDEMPOTENT -> NOT_IDEMPOTENT;
            case KEYED -> {
                if (!isSameScope(serviceClass.deduplicationScope(), earlierAt, repeatAt)) {
                    yield OUTSIDE_DEDUPLICATION_SCOPE;
                }
                yield repeatMs < earlierSentMs + serviceClass.deduplicationWindowMs()
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

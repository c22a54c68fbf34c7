package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The conditions under which a request may be retried after an attempt that may have been executed. */
class RetrySafetyTest {
    private static final double SENT_MS = 1000;
    private static final double WINDOW_MS = 400;

    private static ServiceClass serviceClass(Idempotency idempotency, DeduplicationScope scope) {
        return new ServiceClass("any", idempotency, scope, WINDOW_MS, 100, 500, 1, 0, false);
    }

    private static RetrySafety keyed(
            DeduplicationScope scope, EndpointLocation first, double retryMs, EndpointLocation repeat) {
        return RetrySafety.of(serviceClass(Idempotency.KEYED, scope), SENT_MS, first, retryMs, repeat);
    }

    @Test
    void theWindowEndsExactlyItsLengthAfterTheFirstAttempt() {
        EndpointLocation here = new EndpointLocation(0, 0);
        double endMs = SENT_MS + WINDOW_MS;
        assertThat(keyed(DeduplicationScope.ALL, here, Math.nextDown(endMs), here))
                .isEqualTo(RetrySafety.SAFE);
        assertThat(keyed(DeduplicationScope.ALL, here, endMs, here))
                .isEqualTo(RetrySafety.DEDUPLICATION_WINDOW_EXPIRED);
    }

    @Property
    void theScopeIsThatOfTheClass(
            @ForAll DeduplicationScope scope,
            @ForAll @IntRange(max = 2) int zone,
            @ForAll @IntRange(max = 2) int cell,
            @ForAll @IntRange(max = 2) int otherZone,
            @ForAll @IntRange(max = 2) int otherCell) {
        boolean inside = scope == DeduplicationScope.ALL
                || (scope == DeduplicationScope.ZONE && zone == otherZone)
                || (scope == DeduplicationScope.CELL && cell == otherCell);
        EndpointLocation first = new EndpointLocation(zone, cell);
        EndpointLocation repeat = new EndpointLocation(otherZone, otherCell);
        assertThat(keyed(scope, first, SENT_MS, repeat))
                .isEqualTo(inside ? RetrySafety.SAFE : RetrySafety.OUTSIDE_DEDUPLICATION_SCOPE);
    }

    @Test
    void withoutAKeyOnlyTheClassDecides() {
        EndpointLocation here = new EndpointLocation(0, 0);
        EndpointLocation elsewhere = new EndpointLocation(1, 1);
        ServiceClass idempotent = serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.CELL);
        ServiceClass other = serviceClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(RetrySafety.of(idempotent, SENT_MS, here, SENT_MS + 2 * WINDOW_MS, elsewhere))
                .isEqualTo(RetrySafety.SAFE);
        assertThat(RetrySafety.of(other, SENT_MS, here, SENT_MS, here)).isEqualTo(RetrySafety.NOT_IDEMPOTENT);
    }
}

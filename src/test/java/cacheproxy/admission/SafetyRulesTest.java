package cacheproxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.admission.SafetyRules.AttemptStart;
import cacheproxy.admission.SafetyRules.EarlierAttempt;
import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.EndpointLocation;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.ServiceClass;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests each condition that forbids an attempt or a rejection. */
class SafetyRulesTest {
    private static final double NOW_MS = 10_000;
    private static final double WINDOW_MS = 1500;
    private static final EndpointLocation HERE = new EndpointLocation(1, 10);
    private static final EndpointLocation SAME_ZONE = new EndpointLocation(1, 11);
    private static final EndpointLocation OTHER_ZONE = new EndpointLocation(2, 20);

    private static ServiceClass serviceClass(Idempotency idempotency, DeduplicationScope scope) {
        return new ServiceClass("any", idempotency, scope, WINDOW_MS, 100, 500, 1, 0, false);
    }

    private static AttemptStart attempt(ServiceClass kind, EarlierAttempt... others) {
        return new AttemptStart(RequestState.OPEN, kind, 100, true, HERE, others.length, 3, true, List.of(others));
    }

    private static EarlierAttempt ended(double sentMs, EndpointLocation at, boolean mayHaveRun) {
        return new EarlierAttempt(sentMs, at, false, mayHaveRun);
    }

    private static Verdict verdict(AttemptStart attempt) {
        return SafetyRules.mayBegin(NOW_MS, attempt);
    }

    @Test
    void noAttemptBeginsForAFinalOrStreamingRequest() {
        ServiceClass idempotent = serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(verdict(new AttemptStart(
                        RequestState.CLIENT_DISCONNECTED, idempotent, 100, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.CLIENT_DISCONNECTED);
        assertThat(verdict(new AttemptStart(RequestState.ANSWERED, idempotent, 100, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.REQUEST_ANSWERED);
        assertThat(verdict(
                        new AttemptStart(RequestState.STREAMING, idempotent, 100, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.REQUEST_ANSWERED);
    }

    @Test
    void noAttemptBeginsWithoutTimeAttemptsOrAReadyEndpoint() {
        ServiceClass idempotent = serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 0, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.DEADLINE_EXCEEDED);
        assertThat(verdict(
                        new AttemptStart(RequestState.OPEN, idempotent, Double.NaN, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.DEADLINE_EXCEEDED);
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 1, true, HERE, 3, 3, true, List.of())))
                .isEqualTo(Verdict.ATTEMPTS_EXHAUSTED);
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 1, false, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.ENDPOINT_NOT_READY);
    }

    @Test
    void aNonIdempotentRequestIsRepeatedOnlyIfNoAttemptMayHaveRun() {
        ServiceClass nonIdempotent = serviceClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(verdict(attempt(nonIdempotent, ended(NOW_MS - 10, HERE, false))))
                .isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(attempt(nonIdempotent, ended(NOW_MS - 10, HERE, false), ended(NOW_MS - 5, HERE, true))))
                .isEqualTo(Verdict.MAYBE_EXECUTED);
        assertThat(verdict(attempt(
                        serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL), ended(NOW_MS - 10, HERE, true))))
                .isEqualTo(Verdict.ALLOWED);
    }

    @Test
    void aKeyedRequestThatMayHaveRunIsRepeatedInItsScopeAndWindow() {
        ServiceClass zone = serviceClass(Idempotency.KEYED, DeduplicationScope.ZONE);
        assertThat(verdict(attempt(zone, ended(NOW_MS - 10, SAME_ZONE, true)))).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(attempt(zone, ended(NOW_MS - 10, OTHER_ZONE, true))))
                .isEqualTo(Verdict.OUTSIDE_DEDUPLICATION_SCOPE);
        assertThat(verdict(attempt(zone, ended(NOW_MS - 10, OTHER_ZONE, false))))
                .isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(attempt(zone, ended(NOW_MS - WINDOW_MS, SAME_ZONE, true))))
                .isEqualTo(Verdict.DEDUPLICATION_WINDOW_EXPIRED);
        assertThat(verdict(attempt(
                        serviceClass(Idempotency.KEYED, DeduplicationScope.CELL), ended(NOW_MS - 10, SAME_ZONE, true))))
                .isEqualTo(Verdict.OUTSIDE_DEDUPLICATION_SCOPE);
        assertThat(verdict(attempt(
                        serviceClass(Idempotency.KEYED, DeduplicationScope.ALL), ended(NOW_MS - 10, OTHER_ZONE, true))))
                .isEqualTo(Verdict.ALLOWED);
    }

    /**
     * Routing adds the connect timeout when it plans; the check before sending allows repeats until the window ends.
     */
    @Test
    void aRepeatIsCheckedAtTheTimeItBegins() {
        ServiceClass keyed = serviceClass(Idempotency.KEYED, DeduplicationScope.ALL);
        assertThat(verdict(attempt(keyed, ended(NOW_MS - WINDOW_MS + 1, OTHER_ZONE, true))))
                .isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(attempt(keyed, ended(NOW_MS - WINDOW_MS, OTHER_ZONE, true))))
                .isEqualTo(Verdict.DEDUPLICATION_WINDOW_EXPIRED);
    }

    @Test
    void oneAttemptIsInFlightAtATimeWhereHedgingIsNotAllowed() {
        ServiceClass idempotent = serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        List<EarlierAttempt> inFlight = List.of(new EarlierAttempt(NOW_MS - 10, HERE, true, true));
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 100, true, HERE, 1, 3, false, inFlight)))
                .isEqualTo(Verdict.HEDGING_NOT_ALLOWED);
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 100, true, HERE, 1, 3, true, inFlight)))
                .isEqualTo(Verdict.ALLOWED);
    }

    /** A rejection tells the client that a repeat is safe. */
    @Property(tries = 100)
    void aRequestMayBeRejectedIfARepeatIsSafe(
            @ForAll Idempotency idempotency, @ForAll DeduplicationScope scope, @ForAll boolean mayHaveRun) {
        boolean repeatIsSafe = !mayHaveRun
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && scope == DeduplicationScope.ALL);
        assertThat(SafetyRules.mayReject(serviceClass(idempotency, scope), List.of(ended(NOW_MS, HERE, mayHaveRun)))
                        .allowed())
                .isEqualTo(repeatIsSafe);
    }

    @Test
    void aSentTimeoutIsLimitedByTheRemainingTimePlusSlack() {
        assertThat(SafetyRules.isExcessiveTimeout(250, 100)).isFalse();
        assertThat(SafetyRules.isExcessiveTimeout(251, 100)).isTrue();
        assertThat(SafetyRules.isExcessiveTimeout(151, -1000)).isTrue();
    }

    @Property
    void aFinalStateHasNoTransitions(@ForAll RequestState from, @ForAll RequestState to) {
        assertThat(from.canBecome(to) && from.isFinal()).isFalse();
        assertThat(from.canBecome(from)).isFalse();
        assertThat(to == RequestState.OPEN && from.canBecome(to)).isFalse();
    }
}

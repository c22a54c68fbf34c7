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

/** What may be sent and rejected, condition by condition. */
class SafetyRulesTest {
    private static final double NOW_MS = 10_000;
    private static final double WINDOW_MS = 1500;
    private static final EndpointLocation HERE = new EndpointLocation(1, 10);
    private static final EndpointLocation SAME_ZONE = new EndpointLocation(1, 11);
    private static final EndpointLocation ELSEWHERE = new EndpointLocation(2, 20);

    private static ServiceClass serviceClass(Idempotency idempotency, DeduplicationScope scope) {
        return new ServiceClass("any", idempotency, scope, WINDOW_MS, 100, 500, 1, 0, false);
    }

    private static AttemptStart send(ServiceClass kind, EarlierAttempt... others) {
        return new AttemptStart(RequestState.OPEN, kind, 100, true, HERE, others.length, 3, true, List.of(others));
    }

    private static EarlierAttempt ended(double sentMs, EndpointLocation at, boolean mayHaveRun) {
        return new EarlierAttempt(sentMs, at, false, mayHaveRun);
    }

    private static Verdict verdict(AttemptStart send) {
        return SafetyRules.mayBegin(NOW_MS, send);
    }

    @Test
    void nothingIsSentForARequestThatIsFinalOrStreams() {
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
    void nothingIsSentWithoutTimeAttemptsOrAReadyEndpoint() {
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
        assertThat(verdict(send(nonIdempotent, ended(NOW_MS - 10, HERE, false))))
                .isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(nonIdempotent, ended(NOW_MS - 10, HERE, false), ended(NOW_MS - 5, HERE, true))))
                .isEqualTo(Verdict.MAYBE_EXECUTED);
        assertThat(verdict(send(
                        serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL), ended(NOW_MS - 10, HERE, true))))
                .isEqualTo(Verdict.ALLOWED);
    }

    @Test
    void aKeyedRequestThatMayHaveRunIsRepeatedInItsScopeAndWindow() {
        ServiceClass zone = serviceClass(Idempotency.KEYED, DeduplicationScope.ZONE);
        assertThat(verdict(send(zone, ended(NOW_MS - 10, SAME_ZONE, true)))).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(zone, ended(NOW_MS - 10, ELSEWHERE, true))))
                .isEqualTo(Verdict.OUTSIDE_DEDUPLICATION_SCOPE);
        assertThat(verdict(send(zone, ended(NOW_MS - 10, ELSEWHERE, false)))).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(zone, ended(NOW_MS - WINDOW_MS, SAME_ZONE, true))))
                .isEqualTo(Verdict.DEDUPLICATION_WINDOW_EXPIRED);
        assertThat(verdict(send(
                        serviceClass(Idempotency.KEYED, DeduplicationScope.CELL), ended(NOW_MS - 10, SAME_ZONE, true))))
                .isEqualTo(Verdict.OUTSIDE_DEDUPLICATION_SCOPE);
        assertThat(verdict(send(
                        serviceClass(Idempotency.KEYED, DeduplicationScope.ALL), ended(NOW_MS - 10, ELSEWHERE, true))))
                .isEqualTo(Verdict.ALLOWED);
    }

    /** Routing plans with the time a connection may take; at the moment of the act the window is used up to its end. */
    @Test
    void aRepeatIsJudgedByTheMomentItBegins() {
        ServiceClass keyed = serviceClass(Idempotency.KEYED, DeduplicationScope.ALL);
        assertThat(verdict(send(keyed, ended(NOW_MS - WINDOW_MS + 1, ELSEWHERE, true))))
                .isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(keyed, ended(NOW_MS - WINDOW_MS, ELSEWHERE, true))))
                .isEqualTo(Verdict.DEDUPLICATION_WINDOW_EXPIRED);
    }

    @Test
    void oneAttemptIsInFlightAtATimeWhereHedgingIsNotAllowed() {
        ServiceClass idempotent = serviceClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        List<EarlierAttempt> out = List.of(new EarlierAttempt(NOW_MS - 10, HERE, true, true));
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 100, true, HERE, 1, 3, false, out)))
                .isEqualTo(Verdict.HEDGING_NOT_ALLOWED);
        assertThat(verdict(new AttemptStart(RequestState.OPEN, idempotent, 100, true, HERE, 1, 3, true, out)))
                .isEqualTo(Verdict.ALLOWED);
    }

    /** A rejection promises that a repeat does no harm. */
    @Property(tries = 100)
    void aRequestMayBeRejectedWhereARepeatDoesNoHarm(
            @ForAll Idempotency effect, @ForAll DeduplicationScope group, @ForAll boolean mayHaveRun) {
        boolean harmless = !mayHaveRun
                || effect == Idempotency.IDEMPOTENT
                || (effect == Idempotency.KEYED && group == DeduplicationScope.ALL);
        assertThat(SafetyRules.mayReject(serviceClass(effect, group), List.of(ended(NOW_MS, HERE, mayHaveRun)))
                        .allowed())
                .isEqualTo(harmless);
    }

    @Test
    void aSentTimeoutIsAtMostWhatRemainsWithItsSlack() {
        assertThat(SafetyRules.isExcessiveTimeout(250, 100)).isFalse();
        assertThat(SafetyRules.isExcessiveTimeout(251, 100)).isTrue();
        assertThat(SafetyRules.isExcessiveTimeout(151, -1000)).isTrue();
    }

    @Property
    void aFinalStateStaysSo(@ForAll RequestState from, @ForAll RequestState to) {
        assertThat(from.canBecome(to) && from.isFinal()).isFalse();
        assertThat(from.canBecome(from)).isFalse();
        assertThat(to == RequestState.OPEN && from.canBecome(to)).isFalse();
    }
}

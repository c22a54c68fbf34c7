package cacheproxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.admission.Permits.Earlier;
import cacheproxy.admission.Permits.Place;
import cacheproxy.admission.Permits.Send;
import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.ServiceClass;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What may be sent and refused, condition by condition. */
class PermitsTest {
    private static final double NOW_MS = 10_000;
    private static final double WINDOW_MS = 1500;
    private static final Place HERE = new Place(1, 10);
    private static final Place SAME_ZONE = new Place(1, 11);
    private static final Place ELSEWHERE = new Place(2, 20);

    private static ServiceClass kind(Idempotency effect, DeduplicationScope group) {
        return new ServiceClass("any", effect, group, WINDOW_MS, 100, 500, 1, 0, false);
    }

    private static Send send(ServiceClass kind, Earlier... others) {
        return new Send(RequestState.OPEN, kind, 100, true, HERE, others.length, 3, true, List.of(others));
    }

    private static Earlier ended(double sentMs, Place at, boolean mayHaveRun) {
        return new Earlier(sentMs, at, false, mayHaveRun);
    }

    private static Verdict verdict(Send send) {
        return Permits.send(NOW_MS, send);
    }

    @Test
    void nothingIsSentForARequestThatIsOverOrStreams() {
        ServiceClass safe = kind(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(verdict(new Send(RequestState.CLIENT_GONE, safe, 100, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.CLIENT_GONE);
        assertThat(verdict(new Send(RequestState.ANSWERED, safe, 100, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.REQUEST_ANSWERED);
        assertThat(verdict(new Send(RequestState.STREAMING, safe, 100, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.REQUEST_ANSWERED);
    }

    @Test
    void nothingIsSentWithoutTimeAttemptsOrAReadyServer() {
        ServiceClass safe = kind(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(verdict(new Send(RequestState.OPEN, safe, 0, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.NO_TIME_LEFT);
        assertThat(verdict(new Send(RequestState.OPEN, safe, Double.NaN, true, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.NO_TIME_LEFT);
        assertThat(verdict(new Send(RequestState.OPEN, safe, 1, true, HERE, 3, 3, true, List.of())))
                .isEqualTo(Verdict.ATTEMPTS_SPENT);
        assertThat(verdict(new Send(RequestState.OPEN, safe, 1, false, HERE, 0, 3, true, List.of())))
                .isEqualTo(Verdict.SERVER_NOT_READY);
    }

    @Test
    void anUnsafeRequestIsRepeatedOnlyIfNoAttemptMayHaveRun() {
        ServiceClass unsafe = kind(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        assertThat(verdict(send(unsafe, ended(NOW_MS - 10, HERE, false)))).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(unsafe, ended(NOW_MS - 10, HERE, false), ended(NOW_MS - 5, HERE, true))))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(verdict(send(kind(Idempotency.IDEMPOTENT, DeduplicationScope.ALL), ended(NOW_MS - 10, HERE, true))))
                .isEqualTo(Verdict.ALLOWED);
    }

    @Test
    void aKeyedRequestThatMayHaveRunIsRepeatedInItsGroupAndWindow() {
        ServiceClass zone = kind(Idempotency.KEYED, DeduplicationScope.ZONE);
        assertThat(verdict(send(zone, ended(NOW_MS - 10, SAME_ZONE, true)))).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(zone, ended(NOW_MS - 10, ELSEWHERE, true)))).isEqualTo(Verdict.OTHER_GROUP);
        assertThat(verdict(send(zone, ended(NOW_MS - 10, ELSEWHERE, false)))).isEqualTo(Verdict.ALLOWED);
        assertThat(verdict(send(zone, ended(NOW_MS - WINDOW_MS, SAME_ZONE, true))))
                .isEqualTo(Verdict.WINDOW_OVER);
        assertThat(verdict(send(kind(Idempotency.KEYED, DeduplicationScope.CELL), ended(NOW_MS - 10, SAME_ZONE, true))))
                .isEqualTo(Verdict.OTHER_GROUP);
        assertThat(verdict(send(kind(Idempotency.KEYED, DeduplicationScope.ALL), ended(NOW_MS - 10, ELSEWHERE, true))))
                .isEqualTo(Verdict.ALLOWED);
    }

    @Test
    void oneAttemptIsOutAtATimeWhereSecondCopiesAreForbidden() {
        ServiceClass safe = kind(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        List<Earlier> out = List.of(new Earlier(NOW_MS - 10, HERE, true, true));
        assertThat(verdict(new Send(RequestState.OPEN, safe, 100, true, HERE, 1, 3, false, out)))
                .isEqualTo(Verdict.SECOND_COPY);
        assertThat(verdict(new Send(RequestState.OPEN, safe, 100, true, HERE, 1, 3, true, out)))
                .isEqualTo(Verdict.ALLOWED);
    }

    /** A refusal promises that a repeat does no harm. */
    @Property(tries = 100)
    void aRefusalIsGivenWhereARepeatDoesNoHarm(
            @ForAll Idempotency effect, @ForAll DeduplicationScope group, @ForAll boolean mayHaveRun) {
        boolean harmless = !mayHaveRun
                || effect == Idempotency.IDEMPOTENT
                || (effect == Idempotency.KEYED && group == DeduplicationScope.ALL);
        assertThat(Permits.refuse(kind(effect, group), List.of(ended(NOW_MS, HERE, mayHaveRun)))
                        .allowed())
                .isEqualTo(harmless);
    }

    @Test
    void whatIsToldIsAtMostWhatIsLeftWithItsSlack() {
        assertThat(Permits.toldTooMuch(250, 100)).isFalse();
        assertThat(Permits.toldTooMuch(251, 100)).isTrue();
        assertThat(Permits.toldTooMuch(151, -1000)).isTrue();
    }

    @Property
    void whatIsOverStaysSo(@ForAll RequestState from, @ForAll RequestState to) {
        assertThat(from.mayBecome(to) && from.over()).isFalse();
        assertThat(from.mayBecome(from)).isFalse();
        assertThat(to == RequestState.OPEN && from.mayBecome(to)).isFalse();
    }
}

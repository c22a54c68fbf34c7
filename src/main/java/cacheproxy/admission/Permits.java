package cacheproxy.admission;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.ServiceClass;
import java.util.List;

/**
 * Says whether an attempt may begin, and whether a refusal may be promised. Knows the states alone that it is given:
 * whoever acts hands them over as they are at that moment, and not as they were when the act was planned.
 */
public final class Permits {
    /** By how much a server may be told of more time than its client has left, in milliseconds. */
    public static final double TOLD_SLACK_MS = 150;
    /** How late after its time a final answer still is one, in milliseconds. */
    public static final double ANSWER_SLACK_MS = 500;

    private Permits() {}

    /** Where a server stands, as far as a keyed repeat asks. */
    public record Place(int zone, int cell) {
        boolean sameGroup(DeduplicationScope group, Place other) {
            return switch (group) {
                case ALL -> true;
                case ZONE -> zone == other.zone;
                case CELL -> cell == other.cell;
            };
        }
    }

    /**
     * An attempt of a request besides the one in question.
     *
     * @param sentMs when it was sent
     * @param at where
     * @param out whether it is still waited for
     * @param mayHaveRun whether it has run, may have, or may yet
     */
    public record Earlier(double sentMs, Place at, boolean out, boolean mayHaveRun) {}

    /**
     * An attempt that is about to begin.
     *
     * @param state of its request
     * @param kind the request's class
     * @param leftMs the time that its client has left; not over 0: none
     * @param serverReady whether the list has the server take new requests
     * @param at where the server stands
     * @param index how many attempts of the request were made before it
     * @param maxAttempts how many there may be in all
     * @param secondCopies whether one may go out beside another
     * @param others the request's other attempts
     */
    public record Send(
            RequestState state,
            ServiceClass kind,
            double leftMs,
            boolean serverReady,
            Place at,
            int index,
            int maxAttempts,
            boolean secondCopies,
            List<Earlier> others) {}

    /** Whether the attempt may begin at this time. */
    public static Verdict send(double nowMs, Send send) {
        if (send.state == RequestState.CLIENT_GONE) {
            return Verdict.CLIENT_GONE;
        }
        if (send.state != RequestState.OPEN) {
            return Verdict.REQUEST_ANSWERED;
        }
        if (!(send.leftMs > 0)) {
            return Verdict.NO_TIME_LEFT;
        }
        if (send.index >= send.maxAttempts) {
            return Verdict.ATTEMPTS_SPENT;
        }
        if (!send.serverReady) {
            return Verdict.SERVER_NOT_READY;
        }
        for (Earlier earlier : send.others) {
            Verdict verdict = beside(nowMs, send, earlier);
            if (!verdict.allowed()) {
                return verdict;
            }
        }
        return Verdict.ALLOWED;
    }

    private static Verdict beside(double nowMs, Send send, Earlier earlier) {
        if (earlier.out && !send.secondCopies) {
            return Verdict.SECOND_COPY;
        }
        if (!earlier.mayHaveRun) {
            return Verdict.ALLOWED;
        }
        return switch (send.kind.idempotency()) {
            case IDEMPOTENT -> Verdict.ALLOWED;
            case NON_IDEMPOTENT -> Verdict.MAY_HAVE_RUN;
            case KEYED -> {
                if (!send.at.sameGroup(send.kind.deduplicationScope(), earlier.at)) {
                    yield Verdict.OTHER_GROUP;
                }
                yield nowMs < earlier.sentMs + send.kind.deduplicationWindowMs()
                        ? Verdict.ALLOWED
                        : Verdict.WINDOW_OVER;
            }
        };
    }

    /** Whether a request of this class may be refused, which promises that a repeat does no harm. */
    public static Verdict refuse(ServiceClass kind, List<Earlier> attempts) {
        boolean harmless = kind.idempotency() == Idempotency.IDEMPOTENT
                || (kind.idempotency() == Idempotency.KEYED && kind.deduplicationScope() == DeduplicationScope.ALL)
                || attempts.stream().noneMatch(Earlier::mayHaveRun);
        return harmless ? Verdict.ALLOWED : Verdict.MAY_HAVE_RUN;
    }

    /** Whether a server that is told of this much time is told of too much. */
    public static boolean toldTooMuch(double toldMs, double leftMs) {
        return toldMs > Math.max(leftMs, 0) + TOLD_SLACK_MS;
    }
}

package cacheproxy.admission;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.ServiceClass;
import java.util.List;

/**
 * Says whether an attempt may begin, and whether a refusal may be promised. Knows the states alone that it is given:
 * whoever acts hands them over as they are at that moment, and not as they were when the act was planned.
 */
public final class SafetyRules {
    /** By how much a server may be told of more time than its client has left, in milliseconds. */
    public static final double SENT_TIMEOUT_SLACK_MS = 150;
    /** How late after its time a final answer still is one, in milliseconds. */
    public static final double FINAL_ANSWER_SLACK_MS = 500;

    private SafetyRules() {}

    /** Where a server stands, as far as a keyed repeat asks. */
    public record Location(int zone, int cell) {
        boolean sameGroup(DeduplicationScope group, Location other) {
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
     * @param location where it was sent
     * @param inFlight whether it is still waited for
     * @param mayHaveRun whether it has run, may have, or may yet
     */
    public record EarlierAttempt(double sentMs, Location location, boolean inFlight, boolean mayHaveRun) {}

    /**
     * An attempt that is about to begin.
     *
     * @param requestState of its request
     * @param serviceClass the request's class
     * @param remainingMs the time that its client has left; not over 0: none
     * @param endpointReady whether the list has the server take new requests
     * @param location where the server stands
     * @param attemptIndex how many attempts of the request were made before it
     * @param maxAttempts how many there may be in all
     * @param hedgingAllowed whether one may go out beside another
     * @param otherAttempts the request's other attempts
     */
    public record AttemptStart(
            RequestState requestState,
            ServiceClass serviceClass,
            double remainingMs,
            boolean endpointReady,
            Location location,
            int attemptIndex,
            int maxAttempts,
            boolean hedgingAllowed,
            List<EarlierAttempt> otherAttempts) {}

    /** Whether the attempt may begin at this time. */
    public static Verdict mayBegin(double nowMs, AttemptStart send) {
        if (send.requestState == RequestState.CLIENT_DISCONNECTED) {
            return Verdict.CLIENT_DISCONNECTED;
        }
        if (send.requestState != RequestState.OPEN) {
            return Verdict.REQUEST_ANSWERED;
        }
        if (!(send.remainingMs > 0)) {
            return Verdict.DEADLINE_EXCEEDED;
        }
        if (send.attemptIndex >= send.maxAttempts) {
            return Verdict.ATTEMPTS_EXHAUSTED;
        }
        if (!send.endpointReady) {
            return Verdict.ENDPOINT_NOT_READY;
        }
        for (EarlierAttempt earlier : send.otherAttempts) {
            Verdict verdict = besideEarlier(nowMs, send, earlier);
            if (!verdict.allowed()) {
                return verdict;
            }
        }
        return Verdict.ALLOWED;
    }

    private static Verdict besideEarlier(double nowMs, AttemptStart send, EarlierAttempt earlier) {
        if (earlier.inFlight && !send.hedgingAllowed) {
            return Verdict.HEDGING_NOT_ALLOWED;
        }
        if (!earlier.mayHaveRun) {
            return Verdict.ALLOWED;
        }
        return switch (send.serviceClass.idempotency()) {
            case IDEMPOTENT -> Verdict.ALLOWED;
            case NON_IDEMPOTENT -> Verdict.MAYBE_EXECUTED;
            case KEYED -> {
                if (!send.location.sameGroup(send.serviceClass.deduplicationScope(), earlier.location)) {
                    yield Verdict.OUTSIDE_DEDUPLICATION_SCOPE;
                }
                yield nowMs < earlier.sentMs + send.serviceClass.deduplicationWindowMs()
                        ? Verdict.ALLOWED
                        : Verdict.DEDUPLICATION_WINDOW_EXPIRED;
            }
        };
    }

    /** Whether a request of this class may be refused, which promises that a repeat does no harm. */
    public static Verdict mayReject(ServiceClass kind, List<EarlierAttempt> attempts) {
        boolean harmless = kind.idempotency() == Idempotency.IDEMPOTENT
                || (kind.idempotency() == Idempotency.KEYED && kind.deduplicationScope() == DeduplicationScope.ALL)
                || attempts.stream().noneMatch(EarlierAttempt::mayHaveRun);
        return harmless ? Verdict.ALLOWED : Verdict.MAYBE_EXECUTED;
    }

    /** Whether a server that is told of this much time is told of too much. */
    public static boolean isExcessiveTimeout(double toldMs, double leftMs) {
        return toldMs > Math.max(leftMs, 0) + SENT_TIMEOUT_SLACK_MS;
    }
}

package cacheproxy.admission;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.EndpointLocation;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.RetrySafety;
import cacheproxy.routing.ServiceClass;
import java.util.List;

/**
 * Says whether an attempt may begin, and whether a request may be rejected. Knows only the states that it is given:
 * whoever acts passes them as they are at the moment of the act, not as they were when it was planned. All times in
 * milliseconds on one clock.
 */
public final class SafetyRules {
    /**
     * By how much the timeout that an endpoint is sent may exceed the time that its client has left; the same
     * everywhere.
     */
    public static final double SENT_TIMEOUT_SLACK_MS = 150;
    /** How late after its deadline a final answer still is one; the same in every deployment, whatever its settings. */
    public static final double FINAL_ANSWER_SLACK_MS = 500;

    private SafetyRules() {}

    /**
     * An attempt of a request besides the one in question.
     *
     * @param sentMs when it was sent
     * @param location where it was sent
     * @param inFlight whether it has not ended
     * @param mayHaveRun whether it has taken effect, may have, or may yet
     */
    public record EarlierAttempt(double sentMs, EndpointLocation location, boolean inFlight, boolean mayHaveRun) {}

    /**
     * An attempt that is about to begin.
     *
     * @param requestState of its request
     * @param serviceClass of its request
     * @param remainingMs the time that its client has left; none if it is not over 0
     * @param endpointReady whether the list has the endpoint take new requests
     * @param location of the endpoint
     * @param attemptIndex how many attempts of the request were made before it
     * @param maxAttempts how many there may be in all
     * @param hedgingAllowed whether it may be in flight beside another
     * @param otherAttempts the request's other attempts
     */
    public record AttemptStart(
            RequestState requestState,
            ServiceClass serviceClass,
            double remainingMs,
            boolean endpointReady,
            EndpointLocation location,
            int attemptIndex,
            int maxAttempts,
            boolean hedgingAllowed,
            List<EarlierAttempt> otherAttempts) {}

    /** Whether the attempt may begin at this time; the first condition that forbids it, or ALLOWED. */
    public static Verdict mayBegin(double nowMs, AttemptStart attempt) {
        if (attempt.requestState == RequestState.CLIENT_DISCONNECTED) {
            return Verdict.CLIENT_DISCONNECTED;
        }
        if (attempt.requestState != RequestState.OPEN) {
            return Verdict.REQUEST_ANSWERED;
        }
        if (!(attempt.remainingMs > 0)) {
            return Verdict.DEADLINE_EXCEEDED;
        }
        if (attempt.attemptIndex >= attempt.maxAttempts) {
            return Verdict.ATTEMPTS_EXHAUSTED;
        }
        if (!attempt.endpointReady) {
            return Verdict.ENDPOINT_NOT_READY;
        }
        for (EarlierAttempt earlier : attempt.otherAttempts) {
            Verdict verdict = mayBeginBeside(nowMs, attempt, earlier);
            if (!verdict.allowed()) {
                return verdict;
            }
        }
        return Verdict.ALLOWED;
    }

    private static Verdict mayBeginBeside(double nowMs, AttemptStart attempt, EarlierAttempt earlier) {
        if (earlier.inFlight && !attempt.hedgingAllowed) {
            return Verdict.HEDGING_NOT_ALLOWED;
        }
        if (!earlier.mayHaveRun) {
            return Verdict.ALLOWED;
        }
        // For now, and not a connect timeout later as when it was planned: its connection is up, and it is written now.
        RetrySafety safety =
                RetrySafety.of(attempt.serviceClass, earlier.sentMs, earlier.location, nowMs, attempt.location);
        return switch (safety) {
            case SAFE -> Verdict.ALLOWED;
            case NOT_IDEMPOTENT -> Verdict.MAYBE_EXECUTED;
            case OUTSIDE_DEDUPLICATION_SCOPE -> Verdict.OUTSIDE_DEDUPLICATION_SCOPE;
            case DEDUPLICATION_WINDOW_EXPIRED -> Verdict.DEDUPLICATION_WINDOW_EXPIRED;
        };
    }

    /**
     * Whether a request may be rejected, which promises its client that a repeat does no harm.
     *
     * @param attempts all attempts of the request
     */
    public static Verdict mayReject(ServiceClass serviceClass, List<EarlierAttempt> attempts) {
        boolean deduplicatedAnywhere = serviceClass.idempotency() == Idempotency.KEYED
                && serviceClass.deduplicationScope() == DeduplicationScope.ALL;
        boolean harmless = serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || deduplicatedAnywhere
                || attempts.stream().noneMatch(EarlierAttempt::mayHaveRun);
        return harmless ? Verdict.ALLOWED : Verdict.MAYBE_EXECUTED;
    }

    /**
     * Whether the timeout that an endpoint is sent exceeds what its client has left by more than the slack.
     *
     * @param sentMs the timeout sent with the request
     * @param remainingMs what the client has left; negative if its deadline is over
     */
    public static boolean isExcessiveTimeout(double sentMs, double remainingMs) {
        return sentMs > Math.max(remainingMs, 0) + SENT_TIMEOUT_SLACK_MS;
    }
}

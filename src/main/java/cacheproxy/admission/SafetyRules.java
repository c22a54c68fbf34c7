package cacheproxy.admission;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.EndpointLocation;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.RetrySafety;
import cacheproxy.routing.ServiceClass;
import java.util.List;

/**
 * Decides whether an attempt may begin and whether a request may be rejected. Stateless: the caller passes the state at
 * the moment of the action, not the state at the time it was planned. All times are milliseconds on one clock.
 */
public final class SafetyRules {
    /**
     * How far the timeout sent to an endpoint may exceed the client's remaining time, in milliseconds. A fixed limit,
     * the same in every deployment.
     */
    public static final double SENT_TIMEOUT_SLACK_MS = 150;
    /**
     * How long after its deadline a request may still get its final response, in milliseconds. A fixed limit, the same
     * in every deployment and independent of the settings.
     */
    public static final double FINAL_ANSWER_SLACK_MS = 500;

    private SafetyRules() {}

    /**
     * Another attempt of the same request.
     *
     * @param sentMs when it was ordered, which is no later than when it was sent
     * @param location the location of its endpoint
     * @param inFlight whether it has not ended
     * @param mayHaveRun whether it took effect, may have taken effect or may still take effect
     */
    public record EarlierAttempt(double sentMs, EndpointLocation location, boolean inFlight, boolean mayHaveRun) {}

    /**
     * An attempt that is about to begin.
     *
     * @param requestState the state of its request
     * @param serviceClass the class of its request
     * @param remainingMs the time until the deadline; expired unless above 0
     * @param endpointReady whether the endpoint list marks the endpoint as ready for new requests
     * @param location the location of the endpoint
     * @param attemptIndex the number of earlier attempts of the request
     * @param maxAttempts the maximum number of attempts of the request
     * @param hedgingAllowed whether the attempt may be in flight concurrently with another
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

    /** Returns the first condition that forbids the attempt to begin now, or {@link Verdict#ALLOWED}. */
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
        // Without the connect timeout that routing adds: this is checked again right before the attempt is written.
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
     * Whether a request may be rejected. A rejection tells the client that it can safely repeat the request.
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
     * Whether the timeout sent to an endpoint exceeds the client's remaining time by more than the slack.
     *
     * @param sentMs the timeout sent with the request
     * @param remainingMs the client's remaining time; negative once its deadline has passed
     */
    public static boolean isExcessiveTimeout(double sentMs, double remainingMs) {
        return sentMs > Math.max(remainingMs, 0) + SENT_TIMEOUT_SLACK_MS;
    }
}

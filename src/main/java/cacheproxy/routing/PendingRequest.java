package cacheproxy.routing;

import java.util.ArrayList;
import java.util.List;

/** A client's request from its arrival until its final answer is given and its last attempt has ended. */
final class PendingRequest {
    /**
     * What has become of it.
     *
     * <pre>
     * ACTIVE    -> WAITING    it waits for a retry's delay or another request's fetch
     * WAITING   -> ACTIVE     that wait is over
     * ACTIVE, WAITING -> STREAMING  the first byte of a streamed answer has come
     * any       -> DONE       it has had its final answer, or its client has left
     * </pre>
     */
    private enum State {
        ACTIVE,
        WAITING,
        STREAMING,
        DONE
    }

    /** Where its next attempt goes. */
    private enum Target {
        ENDPOINT,
        ORIGIN
    }

    /** One attempt, by its index the one that orders and events name. */
    private static final class Attempt {
        final EndpointEntry endpoint;
        final double sentMs;
        boolean ended;

        Attempt(EndpointEntry endpoint, double sentMs) {
            this.endpoint = endpoint;
            this.sentMs = sentMs;
        }
    }

    /** The first attempt that may have taken effect, as far as is known. */
    private record PossibleExecution(double sentMs, EndpointEntry endpoint) {}

    private final Request request;
    private final ServiceClass serviceClass;
    private final FairShares shares;
    private final double arrivedMs;
    private final int keyHash;
    private final int maxAttemptsAtArrival;
    private final List<Attempt> attempts = new ArrayList<>();
    private State state = State.ACTIVE;
    private Target target = Target.ENDPOINT;
    private PossibleExecution possibleExecution;
    private EndpointEntry missedAt;
    private boolean hedged;
    private int inFlight;
    private int replicas = 1;
    private int keyCount = 1;

    /**
     * A request as it arrives.
     *
     * @param shares the tenants' shares that it is charged to; null where none are kept
     * @param nowMs the time of its arrival, in milliseconds
     */
    PendingRequest(Request request, RoutingSettings settings, FairShares shares, double nowMs) {
        this.request = request;
        this.shares = shares;
        serviceClass = settings.classes().get(request.serviceClass());
        arrivedMs = nowMs;
        keyHash = CarpHash.keyHash(request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id()));
        maxAttemptsAtArrival = settings.maxAttempts();
    }

    // ---- what it is

    Request request() {
        return request;
    }

    int id() {
        return request.id();
    }

    ServiceClass serviceClass() {
        return serviceClass;
    }

    FairShares shares() {
        return shares;
    }

    boolean isIdempotent() {
        return serviceClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** The hash of its key, or of its id where it has none. */
    int keyHash() {
        return keyHash;
    }

    /** The end of its latency objective, in milliseconds on the clock of events. */
    double objectiveEndMs() {
        return arrivedMs + serviceClass.latencyObjectiveMs();
    }

    /** Whether a late answer is worth nothing to its client, and a repeat does no harm. */
    boolean hasNoLateValue() {
        return isIdempotent() && serviceClass.lateValueShare() == 0;
    }

    /** How hot its key is: over how many endpoints it is spread, and its count here; 1 and 1 until then. */
    void setHotness(int newReplicas, int newKeyCount) {
        replicas = newReplicas;
        keyCount = newKeyCount;
    }

    int replicas() {
        return replicas;
    }

    int keyCount() {
        return keyCount;
    }

    // ---- its state

    /** Goes on after a wait, if it waits. Whether another attempt may be made for it now. */
    boolean resume() {
        if (state == State.WAITING) {
            state = State.ACTIVE;
        }
        return state == State.ACTIVE;
    }

    /** Waits; no effect once an answer streams or has been given. */
    void startWaiting() {
        if (state == State.ACTIVE) {
            state = State.WAITING;
        }
    }

    boolean isWaiting() {
        return state == State.WAITING;
    }

    void startStreaming() {
        if (state != State.DONE) {
            state = State.STREAMING;
        }
    }

    boolean isStreaming() {
        return state == State.STREAMING;
    }

    void finish() {
        state = State.DONE;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    /** Whether it is unanswered and no streamed answer has begun. */
    boolean isUnanswered() {
        return state == State.ACTIVE || state == State.WAITING;
    }

    // ---- its attempts

    /** As many as the settings allowed at its arrival, or fewer where they have become stricter since. */
    int maxAttempts(RoutingSettings settings) {
        return Math.min(maxAttemptsAtArrival, settings.maxAttempts());
    }

    int attemptCount() {
        return attempts.size();
    }

    void addAttempt(double nowMs, EndpointEntry endpoint) {
        attempts.add(new Attempt(endpoint, nowMs));
        inFlight++;
    }

    /** Whether there is such an attempt, and it is in flight. */
    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && !attempts.get(attempt).ended;
    }

    boolean hasInFlight() {
        return inFlight > 0;
    }

    EndpointEntry endpointOf(int attempt) {
        return attempts.get(attempt).endpoint;
    }

    /** An attempt in flight has ended. */
    void endAttempt(int attempt) {
        attempts.get(attempt).ended = true;
        inFlight--;
    }

    boolean wasSentTo(EndpointEntry endpoint) {
        for (Attempt attempt : attempts) {
            if (attempt.endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** This attempt may have taken effect, or may yet. Only the first such one counts: its window ends first. */
    void recordPossibleExecution(int attempt) {
        if (possibleExecution == null) {
            Attempt executed = attempts.get(attempt);
            possibleExecution = new PossibleExecution(executed.sentMs, executed.endpoint);
        }
    }

    /** Whether an attempt that has ended may have taken effect. */
    boolean mayHaveExecuted() {
        return possibleExecution != null;
    }

    /** When the first attempt that may have taken effect was sent, in milliseconds; there must be one. */
    double firstPossibleExecutionSentMs() {
        return possibleExecution.sentMs();
    }

    /** Where that attempt was sent. */
    EndpointEntry firstPossibleExecutionEndpoint() {
        return possibleExecution.endpoint();
    }

    // ---- where it goes

    void targetOrigin() {
        target = Target.ORIGIN;
    }

    void targetEndpoints() {
        target = Target.ENDPOINT;
    }

    boolean targetsOrigin() {
        return target == Target.ORIGIN;
    }

    /** An endpoint lacks its object. */
    void recordMiss(EndpointEntry endpoint) {
        missedAt = endpoint;
    }

    boolean hasMissed() {
        return missedAt != null;
    }

    /** Whether this is the endpoint that lacked its object last, and so will have it after a fetch. */
    boolean hasMissedAt(EndpointEntry endpoint) {
        return missedAt == endpoint;
    }

    void markHedged() {
        hedged = true;
    }

    boolean isHedged() {
        return hedged;
    }
}

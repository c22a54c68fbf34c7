package cacheproxy.routing;

import java.util.ArrayList;
import java.util.List;

/** A client's request, from its arrival until its final answer is given and its last attempt has ended. */
final class PendingRequest {
    /**
     * The state of the request.
     *
     * <pre>
     * ACTIVE    -> WAITING    it waits for a retry delay or for another request's fetch
     * WAITING   -> ACTIVE     that wait is over
     * ACTIVE, WAITING -> STREAMING  the first byte of a streamed response has arrived
     * any       -> DONE       it has its final answer, or its client has disconnected
     * </pre>
     */
    private enum State {
        ACTIVE,
        WAITING,
        STREAMING,
        DONE
    }

    /** Where the next attempt goes. */
    private enum Target {
        ENDPOINT,
        ORIGIN
    }

    /** One attempt; actions and events refer to it by its index in the list of attempts. */
    private static final class Attempt {
        final EndpointEntry endpoint;
        final double sentMs;
        boolean ended;

        Attempt(EndpointEntry endpoint, double sentMs) {
            this.endpoint = endpoint;
            this.sentMs = sentMs;
        }
    }

    /** The first attempt known to have possibly been executed. */
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
     * Creates the state of a request that has just arrived.
     *
     * @param shares the fair shares that the request is charged to; null if there are none
     * @param nowMs the time of arrival, in milliseconds
     */
    PendingRequest(Request request, RoutingSettings settings, FairShares shares, double nowMs) {
        this.request = request;
        this.shares = shares;
        serviceClass = settings.classes().get(request.serviceClass());
        arrivedMs = nowMs;
        keyHash = CarpHash.keyHash(request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id()));
        maxAttemptsAtArrival = settings.maxAttempts();
    }

    // ---- properties

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

    /** The hash of the key, or of the request id if there is no key. */
    int keyHash() {
        return keyHash;
    }

    /** The time at which the latency objective ends, in milliseconds on the clock of events. */
    double objectiveEndMs() {
        return arrivedMs + serviceClass.latencyObjectiveMs();
    }

    /** Whether a response after the latency objective has no value, and the request is idempotent. */
    boolean hasNoLateValue() {
        return isIdempotent() && serviceClass.lateValueShare() == 0;
    }

    /** Sets over how many endpoints the key is spread, and the key's request count; both are 1 before. */
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

    // ---- state

    /** Ends a wait, if there is one. Returns whether another attempt may be made now. */
    boolean resume() {
        if (state == State.WAITING) {
            state = State.ACTIVE;
        }
        return state == State.ACTIVE;
    }

    /** Starts a wait; no effect once a response is streaming or the request is done. */
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

    /** Whether the request has no final answer and no streamed response has begun. */
    boolean isUnanswered() {
        return state == State.ACTIVE || state == State.WAITING;
    }

    // ---- attempts

    /** The limit in the settings at arrival, or the present one if that is lower. */
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

    /** Whether the attempt exists and is in flight. */
    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && !attempts.get(attempt).ended;
    }

    boolean hasInFlight() {
        return inFlight > 0;
    }

    EndpointEntry endpointOf(int attempt) {
        return attempts.get(attempt).endpoint;
    }

    /** Marks an attempt in flight as ended. */
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

    /**
     * Records that this attempt may have been executed, or may still be. Only the first one recorded counts, as its
     * deduplication window ends first.
     */
    void recordPossibleExecution(int attempt) {
        if (possibleExecution == null) {
            Attempt executed = attempts.get(attempt);
            possibleExecution = new PossibleExecution(executed.sentMs, executed.endpoint);
        }
    }

    /** Whether an attempt that has ended may have been executed. */
    boolean mayHaveExecuted() {
        return possibleExecution != null;
    }

    /** When the first attempt that may have been executed was sent, in milliseconds; there must be one. */
    double firstPossibleExecutionSentMs() {
        return possibleExecution.sentMs();
    }

    /** The endpoint of the first attempt that may have been executed; there must be one. */
    EndpointEntry firstPossibleExecutionEndpoint() {
        return possibleExecution.endpoint();
    }

    // ---- target

    void targetOrigin() {
        target = Target.ORIGIN;
    }

    void targetEndpoints() {
        target = Target.ENDPOINT;
    }

    boolean targetsOrigin() {
        return target == Target.ORIGIN;
    }

    /** Records that this endpoint does not have the object. */
    void recordMiss(EndpointEntry endpoint) {
        missedAt = endpoint;
    }

    boolean hasMissed() {
        return missedAt != null;
    }

    /** Whether this endpoint reported the latest miss, so that it will have the object after a fetch. */
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

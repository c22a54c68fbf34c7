package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.SafetyRules;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.List;

/** A request of a client, with its state and its attempts. Event loop only. */
public final class ClientRequest {
    private static final int TYPICAL_ATTEMPTS = 3;

    final ResponseWriter responseWriter;
    final RequestCommand command;
    /** When its last byte arrived, on the clock of {@link Dispatcher#now}; its timeout starts then. */
    final double receivedMs;

    /** When it was decoded and accepted, on the same clock; 0 if it was invalid. */
    double acceptedMs;

    /** Its number in the request table; 0 if it was invalid. */
    int id;
    /** Its service class by the settings in force when it was accepted; null if it was invalid. */
    ServiceClass serviceClass;
    /** Its limit of attempts by the same settings. */
    int maxAttempts;

    /** Its deadline, when the client stops waiting, on the clock of {@link Dispatcher#now}. */
    double deadlineMs;
    /** The number of attempts that have not ended. */
    int attemptsInFlight;

    Timer deadlineTimer;
    final List<RequestAttempt> attempts = new ArrayList<>(TYPICAL_ATTEMPTS);
    private RequestState state = RequestState.OPEN;

    /** Creates an open request; {@code receivedMs}: when its last byte arrived. */
    public ClientRequest(ResponseWriter responseWriter, RequestCommand command, double receivedMs) {
        this.responseWriter = responseWriter;
        this.command = command;
        this.receivedMs = receivedMs;
    }

    /** When the client stops waiting, on the clock of {@link Dispatcher#now}. */
    public double deadlineMs() {
        return deadlineMs;
    }

    RequestState state() {
        return state;
    }

    boolean isOpen() {
        return state == RequestState.OPEN;
    }

    /** Whether it is in a final state, answered or with its client disconnected; it allows no further attempt. */
    boolean isCompleted() {
        return state.isFinal();
    }

    /** Whether a response is being streamed to its client. */
    boolean isStreaming() {
        return state == RequestState.STREAMING;
    }

    /** Changes its state; returns false, and changes nothing, if its current state does not allow the transition. */
    boolean transitionTo(RequestState next) {
        boolean allowed = state.canBecome(next);
        state = allowed ? next : state;
        return allowed;
    }

    /** Its attempts in their current state, without {@code excluded}; all of them if that is null. */
    List<SafetyRules.EarlierAttempt> attemptsExcept(RequestAttempt excluded) {
        List<SafetyRules.EarlierAttempt> others = new ArrayList<>(attempts.size());
        for (RequestAttempt attempt : attempts) {
            if (attempt != excluded) {
                boolean inFlight = !attempt.ended;
                others.add(new SafetyRules.EarlierAttempt(
                        attempt.startedMs, attempt.location, inFlight, inFlight || attempt.mayHaveRun));
            }
        }
        return others;
    }
}

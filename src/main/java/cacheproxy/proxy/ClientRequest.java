package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.SafetyRules;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.List;

/** A client's request that the proxy has accepted, its state and its attempts. Event loop only. */
public final class ClientRequest {
    private static final int TYPICAL_ATTEMPTS = 3;

    final ResponseWriter responseWriter;
    final RequestCommand command;
    /** When its last byte arrived, on the clock of {@link Dispatcher#now}; its timeout counts from then. */
    final double receivedMs;

    /** Its number in the request table; 0 for one that was invalid. */
    int id;
    /** Its class as the settings had it when the request arrived; null for one that was invalid. */
    ServiceClass serviceClass;
    /** The maximum number of attempts by the settings of that time. */
    int maxAttempts;

    /** When its client stops waiting, on the clock of {@link Dispatcher#now}. */
    double deadlineMs;
    /** Attempts that have not ended. */
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

    RequestState state() {
        return state;
    }

    boolean isOpen() {
        return state == RequestState.OPEN;
    }

    /** Whether it has had its final response or its client has disconnected: nothing more may be sent for it. */
    boolean isCompleted() {
        return state.isFinal();
    }

    /** Whether a response is being streamed to its client. */
    boolean isStreaming() {
        return state == RequestState.STREAMING;
    }

    /** Changes its state; false, without effect, where its present state does not allow that. */
    boolean transitionTo(RequestState next) {
        boolean allowed = state.canBecome(next);
        state = allowed ? next : state;
        return allowed;
    }

    /** Its attempts as they are now, except this one; null for all. */
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

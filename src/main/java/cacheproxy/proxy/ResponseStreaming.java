package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import io.netty.buffer.ByteBuf;

/**
 * Passes long values on to clients while they arrive. The first attempt of a request to begin one has the client; the
 * others are cancelled. Event loop only.
 */
final class ResponseStreaming {
    private final ProxyClock clock;
    private final SerialLoadBalancer loadBalancer;
    private final AttemptLifecycle attempts;

    ResponseStreaming(ProxyClock clock, SerialLoadBalancer loadBalancer, AttemptLifecycle attempts) {
        this.clock = clock;
        this.loadBalancer = loadBalancer;
        this.attempts = attempts;
    }

    /**
     * Begins a value of {@code length} bytes. False if the request is completed or another value has begun: this one is
     * to be dropped.
     */
    boolean begin(RequestAttempt attempt, int length) {
        ClientRequest request = attempt.request;
        if (attempt.ended || !request.isOpen()) {
            return false;
        }
        request.transitionTo(RequestState.STREAMING);
        attempt.firstByteMs = clock.now();
        Timers.cancel(request.deadlineTimer);
        Timers.cancel(attempt.timer);
        request.responseWriter.beginValue(length, attempt.connection);
        loadBalancer.firstByteReceived(attempt);
        for (RequestAttempt other : request.attempts) {
            if (other != attempt) {
                attempts.cancel(other);
            }
        }
        return true;
    }

    /** Passes a part on, or releases it if nobody waits for it. */
    void writePart(RequestAttempt attempt, ByteBuf part) {
        if (attempt.ended || attempt.request.isCompleted()) {
            part.release();
        } else {
            attempt.request.responseWriter.writePart(part);
        }
    }
}

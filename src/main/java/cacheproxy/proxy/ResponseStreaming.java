package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import io.netty.buffer.ByteBuf;

/**
 * Streams long values to clients while they arrive. The first attempt of a request that begins a value provides the
 * response; the others are cancelled. Event loop only.
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
     * Begins a value of {@code length} bytes. Returns false if the attempt has ended, the request is completed or
     * another value has begun; the caller must discard the value then.
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

    /**
     * Passes a part of the value to the client, or releases it if the attempt has ended or the request is completed.
     */
    void writePart(RequestAttempt attempt, ByteBuf part) {
        if (attempt.ended || attempt.request.isCompleted()) {
            part.release();
        } else {
            attempt.request.responseWriter.writePart(part);
        }
    }
}

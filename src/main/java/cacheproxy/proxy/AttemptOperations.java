package cacheproxy.proxy;

import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/** Forwards the events of an attempt to the classes of the core that handle them. Event loop only. */
final class AttemptOperations {
    private final AttemptStarter starter;
    private final AttemptLifecycle lifecycle;
    private final ResponseStreaming streaming;

    AttemptOperations(AttemptStarter starter, AttemptLifecycle lifecycle, ResponseStreaming streaming) {
        this.starter = starter;
        this.lifecycle = lifecycle;
        this.streaming = streaming;
    }

    boolean mayBegin(RequestAttempt attempt) {
        return starter.mayBegin(attempt);
    }

    boolean isExcessive(RequestAttempt attempt, long timeoutMs) {
        return starter.isExcessive(attempt, timeoutMs);
    }

    void checkRemainingTime(RequestAttempt attempt, long remainingMs) {
        starter.checkRemainingTime(attempt, remainingMs);
    }

    void end(RequestAttempt attempt, AttemptOutcome outcome, int note, float[] report, ServerResponse response) {
        lifecycle.end(attempt, outcome, note, report, response);
    }

    void end(RequestAttempt attempt, AttemptOutcome outcome) {
        lifecycle.end(attempt, outcome);
    }

    void expire(RequestAttempt attempt) {
        lifecycle.expire(attempt);
    }

    boolean beginValue(RequestAttempt attempt, int length) {
        return streaming.begin(attempt, length);
    }

    void writePart(RequestAttempt attempt, ByteBuf part) {
        streaming.writePart(attempt, part);
    }
}

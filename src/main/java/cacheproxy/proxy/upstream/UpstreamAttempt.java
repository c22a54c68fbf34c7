package cacheproxy.proxy.upstream;

import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import java.util.function.DoubleSupplier;

/**
 * An attempt as seen by the connection that carries it: what to send, how long to wait, and where to report events.
 * Event loop only.
 */
public interface UpstreamAttempt {
    /** The command to send; null for a health check. */
    RequestCommand command();

    /** Whether it is a health check. */
    default boolean isHealthCheck() {
        return command() == null;
    }

    /** When the proxy stops waiting for it, on the clock of {@link UpstreamContext#now}. */
    double expiresMs();

    /**
     * How long the proxy still waits for it, in whole milliseconds. Rounded down, so that a server is never given more
     * time than its client has; at least 1, since servers take 0 for no deadline.
     */
    default long remainingMs(double nowMs) {
        return Math.max(1, (long) Math.floor(expiresMs() - nowMs));
    }

    /** Whether it has ended, which happens once; then nobody waits for its response any more. */
    boolean hasEnded();

    /** Whether the rules permit it to begin now; to be checked right before its bytes are written. */
    boolean mayBegin();

    /** Whether this timeout in milliseconds, if its server is told it now, exceeds what its client has left. */
    boolean isExcessive(long timeoutMs);

    /**
     * The timeout to tell its server, in milliseconds; {@code nowMs} reads the clock. Read again if that was long ago,
     * as the process has stood still since.
     */
    default long timeoutToSend(DoubleSupplier nowMs) {
        long timeoutMs = remainingMs(nowMs.getAsDouble());
        return isExcessive(timeoutMs) ? remainingMs(nowMs.getAsDouble()) : timeoutMs;
    }

    /** Called right before it is written; {@code timeoutMs}: the timeout that its server is told, in milliseconds. */
    void sending(long timeoutMs);

    /** Called when it is assigned to this connection. */
    void assignedTo(UpstreamConnection connection);

    /** Called when its last byte was written. */
    void written();

    /** Whether its last byte was written: from then on the server may execute it. */
    boolean isWritten();

    /**
     * Ends it, if it has not ended.
     *
     * @param note what the server says about the response, as in {@link cacheproxy.routing.AttemptEnd}
     * @param report the server's load report; null if it sent none
     * @param response its response, which is released or passed on; null if it has none
     */
    void end(AttemptOutcome outcome, int note, float[] report, ServerResponse response);

    /** Ends it without a response, if it has not ended. */
    void end(AttemptOutcome outcome);

    /** Ends it because its time has run out, if it has not ended. */
    void expire();

    /**
     * Claims the direct memory that its request holds, for its response of up to
     * {@link cacheproxy.flow.ByteBudget#SMALL_VALUE_BYTES}; false if another attempt's response is in it, or nobody
     * waits for this one.
     */
    boolean claimMemory();

    /** Returns the claimed memory, as the response in it has been passed on or released. */
    void returnMemory();

    /** Begins a streamed response of {@code length} bytes; false if it is to be discarded. */
    boolean beginValue(int length);

    /** Passes on part of a streamed response; the receiver releases it. */
    void writePart(ByteBuf part);
}

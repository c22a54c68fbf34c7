package cacheproxy.proxy.upstream;

import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/**
 * An attempt as the connection that carries it sees it: what to send, until when, and where its events go. Event loop
 * only.
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
     * How long the proxy still waits for it, in whole milliseconds. Rounded down, since a server must not be told of
     * time that its client does not have; at least 1, since servers take 0 for no deadline.
     */
    default long remainingMs(double nowMs) {
        return Math.max(1, (long) Math.floor(expiresMs() - nowMs));
    }

    /** Whether it has had its one end; nobody waits for its response then. */
    boolean hasEnded();

    /** Whether the rules permit it to begin now; to be asked right before its bytes go out. */
    boolean mayBegin();

    /** It is about to go out, and its server to be told of this timeout in milliseconds. */
    void sending(long timeoutMs);

    /** It is assigned to this connection. */
    void assignedTo(UpstreamConnection connection);

    /** Its last byte was written. */
    void written();

    /** Whether its last byte was written: from then on the server may execute it. */
    boolean isWritten();

    /**
     * Ends it, if it has not ended.
     *
     * @param note what the server says of the response, as in {@link cacheproxy.routing.AttemptEnd}
     * @param report the server's load report; null if it sent none
     * @param response its response, which is released or passed on; null if it has none
     */
    void end(AttemptOutcome outcome, int note, float[] report, ServerResponse response);

    /** Ends it without a response, if it has not ended. */
    void end(AttemptOutcome outcome);

    /** Ends it because its time is up, if it has not ended. */
    void expire();

    /** A streamed response of {@code length} bytes begins; false if it is to be dropped. */
    boolean beginValue(int length);

    /** Passes on part of a streamed response, which is released there. */
    void writePart(ByteBuf part);
}

package cacheproxy.proxy;

import cacheproxy.metrics.RequestTrace;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.proxy.upstream.UpstreamAttempt;
import cacheproxy.proxy.upstream.UpstreamConnection;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.EndpointLocation;
import io.netty.buffer.ByteBuf;

/** One attempt of a request at a server, or a health check of that server. Event loop only. */
final class RequestAttempt implements UpstreamAttempt {
    /** Null for a health check. */
    final ClientRequest request;
    /** Its index among the attempts of the request, from 0. */
    final int index;

    final int server;
    /**
     * When it was started, on the clock of {@link Dispatcher#now}. Its bytes are written later, so a deduplication
     * window that is counted from here ends too early, never too late.
     */
    final double startedMs;
    /** The location of its server. */
    final EndpointLocation location;

    /** The connection it was assigned to; null before. */
    UpstreamConnection connection;
    /** Whether it has ended; an attempt has exactly one outcome. */
    boolean ended;
    /** After its end: whether the server may have executed it or may still do so. */
    boolean mayHaveRun;
    /** When the first bytes of a streamed response arrived; 0 before. */
    double firstByteMs;

    /** Expires the attempt; null if the request's deadline does so. */
    Timer timer;

    private final AttemptOperations operations;
    private final double expiresMs;
    private boolean written;

    RequestAttempt(
            AttemptOperations operations,
            ClientRequest request,
            int index,
            int server,
            EndpointLocation location,
            double startedMs,
            double expiresMs) {
        this.operations = operations;
        this.request = request;
        this.index = index;
        this.server = server;
        this.location = location;
        this.startedMs = startedMs;
        this.expiresMs = expiresMs;
    }

    /** A step of this attempt, which is no health check. */
    RequestTrace.Entry traceEntry(double atMs, RequestTrace.Step step, String detail) {
        return new RequestTrace.Entry(atMs, request.command.id, step, index, server, detail);
    }

    /** Whether its response is being streamed to the client. */
    boolean isStreaming() {
        return firstByteMs != 0;
    }

    @Override
    public RequestCommand command() {
        return request == null ? null : request.command;
    }

    @Override
    public double expiresMs() {
        return expiresMs;
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }

    @Override
    public boolean mayBegin() {
        return operations.mayBegin(this);
    }

    @Override
    public boolean isExcessive(long timeoutMs) {
        return operations.isExcessive(this, timeoutMs);
    }

    @Override
    public void sending(long timeoutMs) {
        operations.checkRemainingTime(this, timeoutMs);
    }

    @Override
    public void assignedTo(UpstreamConnection carrier) {
        connection = carrier;
    }

    @Override
    public void written() {
        written = true;
    }

    @Override
    public boolean isWritten() {
        return written;
    }

    @Override
    public void end(AttemptOutcome outcome, int note, float[] report, ServerResponse response) {
        operations.end(this, outcome, note, report, response);
    }

    @Override
    public void end(AttemptOutcome outcome) {
        operations.end(this, outcome);
    }

    @Override
    public void expire() {
        operations.expire(this);
    }

    @Override
    public boolean claimMemory() {
        return request != null && !ended && request.responseWriter.claimMemory();
    }

    @Override
    public void returnMemory() {
        request.responseWriter.returnMemory();
    }

    @Override
    public boolean beginValue(int length) {
        return operations.beginValue(this, length);
    }

    @Override
    public void writePart(ByteBuf part) {
        operations.writePart(this, part);
    }
}

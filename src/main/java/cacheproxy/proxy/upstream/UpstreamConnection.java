package cacheproxy.proxy.upstream;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.protocol.FlowControl;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.proxy.transport.ConnectFutures;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.List;

/**
 * One connection to a server, with the attempts on it in the order in which their responses arrive. If the connection
 * ends, an attempt whose last byte was written may have been executed, any other has not. Event loop only.
 */
public final class UpstreamConnection implements FlowControl {
    /** Encodes attempts in the server's protocol, and decodes its responses into calls of this connection. */
    interface Codec {
        /** Writes an attempt; {@code remainingMs}: how long, as the server is told, its response is waited for. */
        ChannelFuture write(Channel channel, UpstreamAttempt attempt, long remainingMs, SocketAddress address);
    }

    private static final int TYPICAL_DEPTH = 4;
    /** A server at its connection limit closes the connection within this time of its response. */
    private static final double REJECTION_CLOSE_MS = 5;

    private final ServerConnectionPool pool;
    private final UpstreamContext context;
    private final ResponseWatchdog watchdog;
    private final ArrayDeque<UpstreamAttempt> attempts = new ArrayDeque<>(TYPICAL_DEPTH);
    private Codec codec;
    private Channel channel;
    private SocketAddress address;
    private boolean connected;
    private boolean closed;
    /** Takes no further attempts. */
    private boolean retired;
    /** Whether this side has closed it, whatever was still to arrive. */
    private boolean closedLocally;

    /** Whether input is being decoded. */
    private boolean reading;
    /** How many attempts on it nobody waits for any more. */
    private int abandoned;

    private double idleSinceMs;
    /** Whether a response has arrived on it. */
    private boolean hasResponded;
    /** The first attempt, if it was rejected and it is not yet known whether the server is at its connection limit. */
    private UpstreamAttempt rejectedFirst;

    UpstreamConnection(ServerConnectionPool pool, UpstreamContext context) {
        this.pool = pool;
        this.context = context;
        watchdog = new ResponseWatchdog(context, this::close);
        idleSinceMs = context.now();
    }

    UpstreamContext context() {
        return context;
    }

    void setCodec(Codec connectionCodec) {
        codec = connectionCodec;
    }

    // ---- opening

    /** The connection to this address is being opened. */
    void connecting(ChannelFuture future, SocketAddress toAddress) {
        channel = ConnectFutures.channel(future);
        address = toAddress;
        ConnectFutures.whenDone(context.loop(), future, () -> {
            if (future.isSuccess()) {
                channelOpened();
            } else {
                context.increment(Metric.CONNECTIONS_FAILED);
                channelClosed();
            }
        });
    }

    private void channelOpened() {
        expireWaiting();
        connected = true;
        if (attempts.isEmpty()) {
            idleSinceMs = context.now();
            if (retired) {
                close();
            }
        }
        for (UpstreamAttempt waiting : List.copyOf(attempts)) {
            if (waiting.isHealthCheck() || waiting.mayBegin()) {
                write(waiting);
            } else {
                attempts.remove(waiting);
                waiting.end(AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** Expires attempts whose time ran out while the connection was opening: nothing may go out for them. */
    private void expireWaiting() {
        double now = context.now();
        List.copyOf(attempts).stream()
                .filter(attempt -> attempt.expiresMs() <= now)
                .forEach(UpstreamAttempt::expire);
    }

    // ---- state, as the pool chooses by it

    /** Whether a streamed response is being received. */
    boolean isStreaming() {
        return watchdog.isStreaming();
    }

    boolean isConnected() {
        return connected;
    }

    boolean isRetired() {
        return retired;
    }

    /** How many attempts are on it. */
    int depth() {
        return attempts.size();
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether nothing is in flight on it and nothing is being read from it. */
    boolean isIdle() {
        return connected && !closed && !retired && !reading && rejectedFirst == null && attempts.isEmpty();
    }

    /**
     * Whether it takes one more attempt. Not while input is being decoded: bytes right behind a response would be taken
     * for the response to an attempt that was added in between. Nor if it has been idle since {@code idleBeforeMs}: its
     * server may be closing it.
     */
    boolean isUsable(int maxDepth, double idleBeforeMs) {
        boolean tooOld = connected && attempts.isEmpty() && idleSinceMs <= idleBeforeMs;
        boolean writable = !connected || (channel.isActive() && channel.isWritable());
        return !closed && !tooOld && !retired && !reading && attempts.size() < maxDepth && writable;
    }

    /** For an idle connection: whether its last response, if any, arrived at least {@code restMs} ago. */
    boolean hasRested(double now, double restMs) {
        return !hasResponded || now - idleSinceMs >= restMs;
    }

    /** Whether it has fewer attempts than another, or as many and was used more recently. */
    boolean isPreferredTo(UpstreamConnection other) {
        return depth() != other.depth() ? depth() < other.depth() : idleSinceMs > other.idleSinceMs;
    }

    // ---- attempts

    /** Sends an attempt, as soon as the connection is open. */
    void send(UpstreamAttempt attempt) {
        attempt.assignedTo(this);
        attempts.add(attempt);
        if (connected) {
            write(attempt);
        }
    }

    private void write(UpstreamAttempt attempt) {
        // Less by the tolerance, since the request may have arrived earlier than estimated.
        long remainingMs = attempt.remainingMs(context.now() + context.arrivalToleranceMs());
        attempt.sending(remainingMs);
        codec.write(channel, attempt, remainingMs, address).addListener(future -> {
            if (future.isSuccess()) {
                attempt.written();
                if (!attempt.isHealthCheck()) {
                    context.recordForward();
                }
            }
        });
    }

    /** Removes an attempt that waits for the connection to open; false if it may have begun to go out. */
    public boolean removeUnsent(UpstreamAttempt attempt) {
        return !connected && attempts.remove(attempt);
    }

    /** Ends all attempts that wait for the connection to open, and with them the connection. */
    void endUnsent() {
        if (connected) {
            return;
        }
        retired = true;
        for (UpstreamAttempt attempt = attempts.poll(); attempt != null; attempt = attempts.poll()) {
            attempt.end(AttemptOutcome.NOT_SENT);
        }
        close();
    }

    /**
     * Whether abandoning an attempt ends it. What has gone out can be ended only with the connection, and that would
     * end the others that are waited for as well.
     */
    public boolean canCancelAttempt() {
        return !connected || attempts.size() - abandoned == 1;
    }

    /** Nobody waits for an attempt any more. True if nothing of it has gone out or will. */
    public boolean abandon(UpstreamAttempt attempt) {
        if (!connected) {
            return removeUnsent(attempt);
        }
        if (!attempts.contains(attempt)) {
            return false;
        }
        abandoned++;
        if (abandoned == attempts.size() && (retired || pool.mayCloseAbandoned())) {
            close();
        }
        return false;
    }

    // ---- closing

    /** Takes no further attempts, and closes once nobody waits for those on it. */
    void retire() {
        retired = true;
        if (abandoned == attempts.size()) {
            close();
        }
    }

    /** Closes the connection if a response on it has stopped in its middle, or an expired one still blocks it. */
    void closeIfStalled(double now) {
        UpstreamAttempt current = attempts.peek();
        boolean blocked = connected
                && current != null
                && current.hasEnded()
                && now - current.expiresMs() > ResponseWatchdog.STREAM_STALL_MS;
        if (blocked || watchdog.isStreamStalled(now)) {
            close();
        }
    }

    /** Whether this side has closed it: what the decoder still brings out is no complete response. */
    boolean closedLocally() {
        return closedLocally;
    }

    void close() {
        retired = true;
        closedLocally = true;
        if (channel != null) {
            channel.close();
        }
    }

    // ---- called by the codec

    /** Input has arrived and is being decoded, or all of it has been. */
    void setReading(boolean nowReading) {
        reading = nowReading;
    }

    /** The attempt whose response arrives next; null if none is in flight, so that input violates the protocol. */
    UpstreamAttempt currentAttempt() {
        return attempts.peek();
    }

    /** Part of a response that is not streamed has arrived. */
    void responseProgressed() {
        watchdog.shortResponseProgressed();
    }

    /** The response to the current attempt has arrived completely; arguments as of {@link UpstreamAttempt#end}. */
    void responseCompleted(AttemptOutcome outcome, int note, float[] report, ServerResponse response) {
        UpstreamAttempt attempt = attempts.poll();
        watchdog.responseCompleted();
        if (attempt.hasEnded()) {
            abandoned--;
        }
        if (attempts.isEmpty()) {
            idleSinceMs = context.now();
        }
        boolean isFirst = !hasResponded;
        hasResponded = true;
        if (isFirst && outcome == AttemptOutcome.REJECTED && !pool.isOrigin()) {
            rejectedFirst = attempt;
            context.after(REJECTION_CLOSE_MS, () -> endRejectedFirst(AttemptOutcome.REJECTED));
        } else {
            attempt.end(outcome, note, report, response);
        }
        // After the end, which may have paused it for a slow client: between two responses nobody would resume it.
        setPaused(false);
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    /**
     * Ends a first attempt that was rejected. Only a server that also closes the connection is at its connection limit;
     * that is an outcome of its own, so that proxies do not try again and again.
     */
    private void endRejectedFirst(AttemptOutcome outcome) {
        if (rejectedFirst != null) {
            UpstreamAttempt attempt = rejectedFirst;
            rejectedFirst = null;
            attempt.end(outcome);
        }
    }

    /** A streamed response of {@code length} bytes begins; false if it is to be dropped. */
    boolean beginValue(int length) {
        watchdog.streamBegan();
        return attempts.peek().beginValue(length);
    }

    /** Passes on part of a streamed response, which is released there. */
    void writePart(ByteBuf part) {
        watchdog.streamProgressed();
        attempts.peek().writePart(part);
    }

    /** Pauses reading while the client can't take more, or resumes it. */
    @Override
    public void setPaused(boolean paused) {
        if (watchdog.setPaused(paused)) {
            channel.config().setAutoRead(!paused);
        }
    }

    /** The server has violated its protocol. */
    void protocolError(String reason) {
        context.log(EventKind.SERVER_PROTOCOL_ERROR, LogMessage.of(reason).with("server", address));
        close();
    }

    /** The connection has ended, or was never opened. */
    void channelClosed() {
        if (closed) {
            return;
        }
        closed = true;
        watchdog.stop();
        pool.connectionClosed(this);
        if (rejectedFirst != null) {
            // Where this side has closed it, because of what came behind the response, that says nothing of limits.
            boolean atLimit = !retired && pool.connectionRejected();
            endRejectedFirst(atLimit ? AttemptOutcome.CONNECTION_LIMIT : AttemptOutcome.REJECTED);
        }
        for (UpstreamAttempt attempt = attempts.poll(); attempt != null; attempt = attempts.poll()) {
            if (!connected && !attempt.hasEnded() && pool.resend(attempt)) {
                continue;
            }
            attempt.end(attempt.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
        }
    }
}

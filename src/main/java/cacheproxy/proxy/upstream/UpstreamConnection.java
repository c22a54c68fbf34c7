package cacheproxy.proxy.upstream;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.protocol.FlowControl;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.proxy.transport.ConnectFutures;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.proxy.transport.TcpAcknowledgement;
import cacheproxy.proxy.transport.TurnedReading;
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
    private static final int TYPICAL_DEPTH = 4;
    private final ServerConnectionPool pool;
    private final UpstreamContext context;
    private final TurnedReading turnedReading;
    private final ResponseWatchdog watchdog;
    private final QuietPeriodTimer quietPeriodTimer;
    private final ArrayDeque<UpstreamAttempt> attempts = new ArrayDeque<>(TYPICAL_DEPTH);
    private ServerCodec codec;
    private Channel channel;
    private SocketAddress address;
    private boolean connected;
    /** Whether it is in the quiet period after a response. */
    private boolean quiet;

    private boolean closed;
    /** Whether it takes no further attempts. */
    private boolean retired;
    /** Whether the proxy has closed it, regardless of what was still to arrive. */
    private boolean closedLocally;

    /** Whether input is being decoded. */
    private boolean reading;
    /** Number of attempts on it that nobody waits for any more. */
    private int abandoned;

    private double idleSinceMs;
    /** Whether a response has arrived on it. */
    private boolean hasResponded;

    private final FirstRejection firstRejection = new FirstRejection();

    /** {@code turnedReading}: the first handler of its channel. */
    UpstreamConnection(ServerConnectionPool pool, UpstreamContext context, TurnedReading turnedReading) {
        this.pool = pool;
        this.context = context;
        this.turnedReading = turnedReading;
        watchdog = new ResponseWatchdog(context, this::close);
        quietPeriodTimer = new QuietPeriodTimer(context, this::quietPeriodEnded);
        idleSinceMs = context.now();
    }

    UpstreamContext context() {
        return context;
    }

    void setCodec(ServerCodec connectionCodec) {
        codec = connectionCodec;
    }

    // ---- opening

    /** Called when the connection to this address is being opened. */
    void connectStarted(ChannelFuture future, SocketAddress toAddress) {
        channel = ConnectFutures.channel(future);
        address = toAddress;
        ConnectFutures.whenDone(context.loop(), future, () -> {
            if (future.isSuccess()) {
                InputBarrier.afterInput(context.loop(), this::channelOpened);
            } else {
                context.increment(Metric.CONNECTIONS_FAILED);
                channelClosed();
            }
        });
    }

    private void channelOpened() {
        if (closed) {
            return;
        }
        expireWaiting();
        connected = true;
        turnedReading.setWanted(true);
        if (attempts.isEmpty()) {
            idleSinceMs = context.now();
            if (retired) {
                close();
            }
        }
        writeWaiting();
    }

    private void quietPeriodEnded() {
        expireWaiting();
        quiet = false;
        if (!closedLocally) {
            writeWaiting();
        }
    }

    private void writeWaiting() {
        for (UpstreamAttempt waiting : List.copyOf(attempts)) {
            if (waiting.isHealthCheck() || waiting.mayBegin()) {
                write(waiting);
            } else {
                attempts.remove(waiting);
                waiting.end(AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** Expires attempts whose time ran out while they waited to be written: nothing may be sent for them. */
    private void expireWaiting() {
        double now = context.now();
        List.copyOf(attempts).stream()
                .filter(attempt -> attempt.expiresMs() <= now)
                .forEach(UpstreamAttempt::expire);
    }

    // ---- state, by which the pool chooses

    /** Whether a streamed response is being received. */
    boolean isStreaming() {
        return watchdog.isStreaming();
    }

    boolean isConnected() {
        return connected;
    }

    /** Whether it is in its quiet period, in which attempts wait. */
    boolean isQuiet() {
        return quiet;
    }

    /** Whether attempts are written at once; otherwise all attempts on it are waiting. */
    private boolean canWrite() {
        return connected && !quiet;
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
        return connected && !closed && !retired && !reading && !firstRejection.isPending() && attempts.isEmpty();
    }

    /**
     * Whether it takes one more attempt. Not while input is being decoded: bytes right after a response would be taken
     * for the response to an attempt that was added in between. Nor if it has been idle since {@code idleCutoffMs}: its
     * server may be closing it.
     */
    boolean isUsable(int maxDepth, double idleCutoffMs) {
        boolean tooOld = connected && attempts.isEmpty() && idleSinceMs <= idleCutoffMs;
        boolean writable = !connected || (channel.isActive() && channel.isWritable());
        return !closed && !tooOld && !retired && !reading && attempts.size() < maxDepth && writable;
    }

    // ---- attempts

    /** Sends an attempt, as soon as the connection is open and not quiet. */
    void send(UpstreamAttempt attempt) {
        attempt.assignedTo(this);
        attempts.add(attempt);
        if (canWrite()) {
            write(attempt);
        }
    }

    private void write(UpstreamAttempt attempt) {
        // Reduced by the tolerance, since the request may have arrived earlier than estimated.
        long remainingMs = attempt.timeoutToSend(() -> context.now() + context.arrivalToleranceMs());
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

    /** Removes an attempt that waits to be written; false if part of it may have been sent. */
    public boolean removeUnsent(UpstreamAttempt attempt) {
        return !canWrite() && attempts.remove(attempt);
    }

    /** If attempts on it wait to be written: ends them all, and closes the connection. */
    void endUnsent() {
        if (canWrite()) {
            return;
        }
        retired = true;
        for (UpstreamAttempt attempt = attempts.poll(); attempt != null; attempt = attempts.poll()) {
            attempt.end(AttemptOutcome.NOT_SENT);
        }
        close();
    }

    /**
     * Whether an attempt can be cancelled without ending others. One that has been sent can be cancelled only by
     * closing the connection, which would also end the other attempts that are waited for.
     */
    public boolean canCancelAttempt() {
        return !canWrite() || attempts.size() - abandoned == 1;
    }

    /** Called when nobody waits for an attempt any more. True if no part of it has been sent or will be. */
    public boolean abandon(UpstreamAttempt attempt) {
        if (!canWrite()) {
            return removeUnsent(attempt);
        }
        if (!attempts.contains(attempt)) {
            return false;
        }
        abandoned++;
        if (attempts.peek() == attempt) {
            codec.discardBody();
            setPaused(false);
        }
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

    /** Closes the connection if the response on it has stalled, or an expired attempt still blocks it. */
    void closeIfStalled(double now) {
        if ((connected && ResponseWatchdog.isBlockedBy(attempts.peek(), now)) || watchdog.isStreamStalled(now)) {
            close();
        }
    }

    /** Whether the proxy has closed it, so that what the decoder still emits is no complete response. */
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

    /** Called when input has arrived and is being decoded, and when all of it has been. */
    void setReading(boolean nowReading) {
        reading = nowReading;
        if (!nowReading && currentAttempt() != null) {
            TcpAcknowledgement.sendNow(channel);
        }
    }

    /** The attempt whose response arrives next; null if none is in flight, so that input violates the protocol. */
    UpstreamAttempt currentAttempt() {
        return canWrite() ? attempts.peek() : null;
    }

    /** Called when part of a response that is not streamed has arrived. */
    void responseProgressed() {
        watchdog.shortResponseProgressed();
    }

    /**
     * Called when the response to the current attempt has arrived completely; arguments as of
     * {@link UpstreamAttempt#end}.
     */
    void responseCompleted(AttemptOutcome outcome, int note, float[] report, ServerResponse response) {
        UpstreamAttempt attempt = attempts.poll();
        watchdog.responseCompleted();
        if (attempt.hasEnded()) {
            abandoned--;
        }
        if (attempts.isEmpty()) {
            idleSinceMs = context.now();
            startQuietPeriod();
        }
        boolean isFirst = !hasResponded;
        hasResponded = true;
        if (isFirst && outcome == AttemptOutcome.REJECTED && !pool.isOrigin()) {
            firstRejection.await(context, attempt);
        } else {
            attempt.end(outcome, note, report, response);
        }
        // After the attempt's end, which may have paused reading for a slow client: nothing would resume it between
        // responses.
        setPaused(false);
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    private void startQuietPeriod() {
        if (!codec.responsesCarryRequestId()) {
            quiet = true;
            quietPeriodTimer.start();
        }
    }

    /** Begins a streamed response of {@code length} bytes; false if it is to be discarded. */
    boolean beginValue(int length) {
        watchdog.streamBegan();
        return attempts.peek().beginValue(length);
    }

    /** Passes on part of a streamed response; the receiver releases it. */
    void writePart(ByteBuf part) {
        watchdog.streamProgressed();
        attempts.peek().writePart(part);
    }

    /** Pauses reading while the client can't take more, or resumes it. */
    @Override
    public void setPaused(boolean paused) {
        if (watchdog.setPaused(paused)) {
            turnedReading.setWanted(!paused);
        }
    }

    /** Logs the server's violation of its protocol and closes the connection. */
    void protocolError(String reason) {
        context.log(EventKind.SERVER_PROTOCOL_ERROR, LogMessage.of(reason).with("server", address));
        close();
    }

    /** Called when the connection has ended or could not be opened. */
    void channelClosed() {
        if (closed) {
            return;
        }
        closed = true;
        watchdog.stop();
        pool.connectionClosed(this);
        if (firstRejection.isPending()) {
            // If the proxy has closed it because of input after the response, that says nothing about limits.
            boolean atLimit = !retired && pool.connectionRejected();
            firstRejection.end(atLimit ? AttemptOutcome.CONNECTION_LIMIT : AttemptOutcome.REJECTED);
        }
        if (canWrite()) {
            endAttempts();
        } else {
            InputBarrier.afterInput(context.loop(), this::endAttempts);
        }
    }

    /** Ends the attempts on a closed connection; those that waited on it are sent on another one if there is one. */
    private void endAttempts() {
        for (UpstreamAttempt attempt = attempts.poll(); attempt != null; attempt = attempts.poll()) {
            if (!attempt.hasEnded() && resendUnsent(attempt)) {
                continue;
            }
            attempt.end(attempt.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
        }
    }

    /**
     * Sends an attempt that waited here on another connection; false if it may have been sent, or there is no other.
     */
    private boolean resendUnsent(UpstreamAttempt attempt) {
        return connected ? quiet && pool.resend(attempt) : pool.resendAfterFailedConnect(attempt);
    }
}

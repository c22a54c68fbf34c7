package cacheproxy.proxy.client;

import cacheproxy.flow.DeliveryProgress;
import cacheproxy.metrics.EventKind;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.PausableDecoder;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.proxy.transport.InputTurns;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The connection of one client. Manages its lifecycle, while {@link ClientRequestReceiver} decodes requests and
 * {@link ClientResponseQueue} writes their responses. Is closed gracefully, output first, or handed over to the
 * successor process. Event loop only.
 */
public final class ClientConnection extends PausableDecoder {
    /** Is notified of the connection's end. Event loop only. */
    public interface Listener {
        /** Called when the connection is closed. */
        void closed(ClientConnection client);

        /** Called when the instance drains and the connection is between requests. */
        void idleWhileDraining(ClientConnection client);
    }

    private final Dispatcher dispatcher;
    private final Listener listener;
    private final boolean adopted;
    private final InputTurns.Turns turns;
    private final ClientResponseQueue responses;
    private final ClientRequestReceiver receiver;
    private ChannelHandlerContext context;
    private ConnectionLinger linger;

    /** Whether no further command is decoded; the connection is closed once its responses are written. */
    private boolean closing;
    /** Whether it is closed once the commands that have arrived are answered. */
    private boolean closingOnceAnswered;
    /** Whether the output is closed, so that no further response is written. */
    private boolean finished;
    /** Whether the client has closed it behind input that is unread; it ends in its next turn. */
    private boolean closedUnread;
    /** Whether the connection has ended, and its requests with it. */
    private boolean ended;
    /** Whether the proxy forced it closed. */
    private boolean closedByProxy;
    /** Whether it is being handed over to another process. */
    private boolean handingOver;

    private DeliveryProgress progress;

    /** {@code adopted}: another process has accepted it and may have served it. */
    public ClientConnection(Dispatcher dispatcher, Listener listener, boolean adopted) {
        this.dispatcher = dispatcher;
        this.listener = listener;
        this.adopted = adopted;
        turns = dispatcher.inputTurns().newClientTurns(this::turnCame);
        responses = new ClientResponseQueue(this, dispatcher);
        receiver = new ClientRequestReceiver(this, responses, dispatcher);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        double now = dispatcher.now();
        progress = new DeliveryProgress(now);
        linger = new ConnectionLinger(ctx.executor(), this::isDelivered, this::closeIfDue, this::closeNow);
        receiver.start(now, adopted);
    }

    ChannelHandlerContext context() {
        return context;
    }

    /** Its turns on the event loop. */
    InputTurns.Turns turns() {
        return turns;
    }

    // ---- state

    /**
     * Whether it is between requests: no response outstanding, no command begun, and all responses written to the
     * kernel.
     */
    boolean idle() {
        return responses.isEmpty() && responses.allWritten() && !receiver.receivesValue() && actualReadableBytes() == 0;
    }

    /**
     * Whether the client's machine has received all that this process has written. Until then, the connection must not
     * be closed: a command that the client sends on it would meet a closed socket, and the reset would discard the rest
     * of the output.
     */
    public boolean isDelivered() {
        return responses.allDelivered();
    }

    /** Whether closing it between requests discards nothing that its client still reads. */
    boolean mayBeClosed(double nowMs) {
        return isDelivered() || progress.isStalled(nowMs);
    }

    /** Whether this process has written a response to it; if not, its first request is assumed to be in flight. */
    boolean hasResponded() {
        return responses.hasWritten();
    }

    /** Whether this or another process has served it, so that no first command is expected. */
    public boolean served() {
        return adopted || hasResponded();
    }

    /** Whether its output is closed or it is being handed over to another process. */
    boolean isClosingOrHandedOver() {
        return finished || handingOver;
    }

    boolean finished() {
        return finished;
    }

    boolean closing() {
        return closing;
    }

    boolean mayTimeOut() {
        return !closing && !handingOver;
    }

    /** When the client last sent or read anything, on the clock of {@link Dispatcher#now}. */
    double lastActiveMs() {
        return progress.progressedMs();
    }

    void markActive() {
        progress.active(dispatcher.now());
    }

    /** Whether the client has taken none of its pending output for too long; to be asked regularly. */
    boolean stalled(double nowMs) {
        if (isDelivered()) {
            return false;
        }
        ChannelOutboundBuffer outbound = context.channel().unsafe().outboundBuffer();
        long unwrittenBytes = outbound == null ? 0 : outbound.totalPendingWriteBytes();
        progress.observe(nowMs, unwrittenBytes, dispatcher.tcpStatus().deliveredBytes(context.channel()));
        return (finished || !responses.allWritten()) && progress.isStalled(nowMs);
    }

    // ---- input

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (closedUnread) {
            ((ByteBuf) bytes).release();
            return;
        }
        receiver.input().received(ctx, (ByteBuf) bytes, idle());
        super.channelRead(ctx, bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        super.channelReadComplete(ctx);
        if (receiver.input().readComplete() && dispatcher.tcpStatus().isClosedByRemote(ctx.channel())) {
            closedUnread = true;
            turns.await();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (closing) {
            in.skipBytes(in.readableBytes());
            return;
        }
        markActive();
        try {
            receiver.decode(in);
        } catch (MetaCodec.SyntaxException e) {
            // The start of the next command is unknown, so the connection has to be closed.
            dispatcher.log(
                    EventKind.CLIENT_PROTOCOL_ERROR,
                    ctx.channel().remoteAddress() + " sent an invalid command: " + e.getMessage());
            respondAndClose("CLIENT_ERROR " + e.getMessage() + "\r\n");
        }
    }

    private void turnCame() {
        if (!closedUnread) {
            receiver.turnCame();
            return;
        }
        long beganNanos = System.nanoTime();
        end();
        context.close();
        turns.charge(InputTurns.costSince(beganNanos));
    }

    /** Makes the decoder process its buffered input, which it otherwise does only when new input arrives. */
    void decodeBuffered() {
        context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    }

    /** How many bytes have been read that are not decoded yet. */
    int waitingBytes() {
        return actualReadableBytes();
    }

    /** Whether complete commands may be waiting to be decoded. */
    boolean mayHaveWaitingCommands() {
        return receiver.isDecodingPaused();
    }

    /**
     * Called when the first part of a value is written that has not arrived completely. Leaves further commands unread
     * until its end: if it breaks off, the connection has to be closed.
     */
    void valueBegun() {
        receiver.pauseReading();
    }

    /** Pauses or resumes reading from servers and from the client, depending on what can be written and decoded now. */
    void updateBackpressure() {
        responses.updateFlowControl();
        receiver.resumeIfPossible();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        markActive();
        updateBackpressure();
    }

    // ---- closing

    /** Sends a last line after the outstanding responses, then closes the connection gracefully. */
    void respondAndClose(String text) {
        responses.respond(text);
        closeAfterOutput();
    }

    /** Closes the connection gracefully behind what has been written; further input is discarded. */
    void closeAfterOutput() {
        closing = true;
        responses.flush();
    }

    /** Closes the connection gracefully once the commands that have been sent on it are answered. */
    void closeOnceAnswered() {
        closingOnceAnswered = true;
        InputBarrier.afterInput(context.executor(), this::closeIfDue);
    }

    /**
     * Closes the connection if that is pending, or reports it as idle during a drain, once nothing is in flight on it.
     */
    void closeIfDue() {
        if (mayClose() && responses.isEmpty() && responses.allWritten()) {
            if (closing || isDelivered()) {
                closeGracefully();
            } else {
                linger.checkLater();
            }
        } else if (dispatcher.drain().closing() && idle()) {
            listener.idleWhileDraining(this);
        }
    }

    private boolean mayClose() {
        return closing
                || (closingOnceAnswered
                        && !receiver.isDecodingPaused()
                        && !receiver.input().isPaused());
    }

    /**
     * Closes the output and waits until the client's machine has received it, and then for the client to close the
     * connection. A socket that is closed with unread input, or that is sent more, resets the connection, and the
     * kernel discards what the client has not received.
     */
    public void closeGracefully() {
        if (finished) {
            return;
        }
        responses.flushNow();
        finished = true;
        closing = true;
        context.channel().config().setAutoRead(true);
        boolean delivered = isDelivered();
        ((DuplexChannel) context.channel()).shutdownOutput();
        linger.start(delivered); // stalled() ends it for a client that takes nothing
    }

    /** Closes the connection immediately, even with requests in flight. */
    void closeNow() {
        closedByProxy = true;
        responses.flushNow();
        context.close();
    }

    /** Ends the connection if the client has closed it, even if that is still unread. */
    void detectDisconnect() {
        if (!ended && dispatcher.tcpStatus().isClosedByRemote(context.channel())) {
            end();
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        closing = true;
        finished = true;
        super.channelInactive(ctx);
        end();
    }

    /** Drops what is outstanding on the connection; no effect if it has ended. */
    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        closing = true;
        finished = true;
        responses.drop(closedByProxy);
        receiver.end();
        listener.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        dispatcher.failures().connectionFailed(cause);
        closedByProxy |= !(cause instanceof IOException);
        ctx.close();
    }

    // ---- handover

    /**
     * Hands the connection over to the successor process and closes it here; the client is not notified. Runs as a
     * separate task, after the reads and writes in progress, and only if the connection is idle then.
     *
     * @param successor passes a channel to the successor and reports whether that succeeded
     */
    public void handOverTo(BiConsumer<Channel, Consumer<Boolean>> successor) {
        if (handingOver || finished) {
            return;
        }
        handingOver = true;
        context.channel().config().setAutoRead(false); // input that arrives from now on is read by the successor
        context.executor().execute(() -> {
            if (idle() && !finished) {
                successor.accept(context.channel(), this::handoverCompleted);
            } else {
                resumeServing();
            }
        });
    }

    private void handoverCompleted(boolean succeeded) {
        if (succeeded) {
            finished = true;
            context.close(); // closes only this process's descriptor
        } else {
            resumeServing();
            if (idle() && isDelivered()) {
                closeGracefully();
            }
        }
    }

    private void resumeServing() {
        handingOver = false;
        context.channel().config().setAutoRead(!receiver.input().isPaused());
    }
}

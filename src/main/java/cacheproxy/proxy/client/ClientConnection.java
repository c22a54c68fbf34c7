package cacheproxy.proxy.client;

import cacheproxy.metrics.EventKind;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.PausableDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The connection of one client: its states from the start to the end, while {@link ClientRequestReceiver} decodes
 * requests and {@link ClientResponseQueue} writes their responses. Ends in order, by closing its output first, or is
 * passed to the process that takes over. On the event loop only.
 */
public final class ClientConnection extends PausableDecoder {
    /** Is told of the connection's end. On the event loop only. */
    public interface Listener {
        /** The connection is closed. */
        void closed(ClientConnection client);

        /** The instance drains, and the connection is between requests. */
        void idleWhileDraining(ClientConnection client);
    }

    /** How long a client has to close a connection whose output is closed, in milliseconds. */
    private static final long LINGER_MS = 300;
    /** A client that has taken nothing of its responses for so long is disconnected, in milliseconds. */
    private static final double WRITE_STALL_MS = 10_000;

    private final Dispatcher dispatcher;
    private final Listener listener;
    private final boolean adopted;
    private final ClientResponseQueue responses;
    private final ClientRequestReceiver receiver;
    private ChannelHandlerContext context;

    /** No further command is decoded; it ends once its responses are written. */
    private boolean closing;
    /** Its output is closed; no further response is written. */
    private boolean finished;
    /** It was closed by the proxy, and not in order. */
    private boolean closedByProxy;
    /** It is on its way to another process. */
    private boolean passing;

    private double lastActiveMs;
    private long lastUnwrittenBytes;

    /** {@code adopted}: another process has accepted it and may have served it. */
    public ClientConnection(Dispatcher dispatcher, Listener listener, boolean adopted) {
        this.dispatcher = dispatcher;
        this.listener = listener;
        this.adopted = adopted;
        responses = new ClientResponseQueue(this, dispatcher);
        receiver = new ClientRequestReceiver(this, responses, dispatcher);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastActiveMs = dispatcher.now();
        receiver.start(lastActiveMs, adopted);
    }

    ChannelHandlerContext context() {
        return context;
    }

    // ---- state

    /** Between requests: no response outstanding, no command begun, and all responses in the kernel. */
    boolean idle() {
        return responses.isEmpty() && responses.allWritten() && !receiver.receivesValue() && actualReadableBytes() == 0;
    }

    /** Whether it has been sent a response here; a connection that has not has a request on its way. */
    boolean hasResponded() {
        return responses.hasWritten();
    }

    /** Whether this or another process has served it, so that no first command is awaited. */
    public boolean served() {
        return adopted || hasResponded();
    }

    /** Whether its output is closed or it is on its way to another process. */
    boolean ending() {
        return finished || passing;
    }

    boolean finished() {
        return finished;
    }

    boolean closing() {
        return closing;
    }

    boolean mayTimeOut() {
        return !closing && !passing;
    }

    /** When the client last sent or took anything, on the clock of {@link Dispatcher#now}. */
    double lastActiveMs() {
        return lastActiveMs;
    }

    void markActive() {
        lastActiveMs = dispatcher.now();
    }

    /** Whether the client has taken nothing for too long of what can be sent to it. */
    boolean stalled(double nowMs) {
        ChannelOutboundBuffer outbound = context.channel().unsafe().outboundBuffer();
        long unwrittenBytes = outbound == null ? 0 : outbound.totalPendingWriteBytes();
        if (unwrittenBytes != lastUnwrittenBytes) {
            lastUnwrittenBytes = unwrittenBytes;
            lastActiveMs = nowMs; // it takes it, however slowly
        }
        return (finished || !responses.allWritten()) && nowMs - lastActiveMs > WRITE_STALL_MS;
    }

    // ---- input

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        receiver.input().received(ctx, (ByteBuf) bytes, idle());
        super.channelRead(ctx, bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        super.channelReadComplete(ctx);
        receiver.input().readComplete(ctx, actualReadableBytes());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        markActive();
        if (closing) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            receiver.decode(in);
        } catch (MetaCodec.SyntaxException e) {
            // Where the next command begins is unknown.
            dispatcher.log(EventKind.CLIENT_PROTOCOL_ERROR, ctx.channel().remoteAddress() + " sends " + e.getMessage());
            respondAndClose("CLIENT_ERROR " + e.getMessage() + "\r\n");
        }
    }

    /** Has the decoder look at what it holds; it is not told otherwise that decoding goes on. */
    void decodeBuffered() {
        context.executor().execute(() -> context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER));
    }

    /** Pauses and resumes servers and the client, by what can be written and decoded now. */
    void updateBackpressure() {
        responses.updateFlowControl();
        receiver.resumeIfPossible();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        markActive();
        updateBackpressure();
    }

    // ---- the end

    /** Sends a last line behind the outstanding responses, then ends the connection. */
    void respondAndClose(String text) {
        responses.respond(text);
        closing = true;
        responses.flush();
    }

    /** Ends the connection if that is due and nothing is under way on it. */
    void closeIfDue() {
        if (closing && responses.isEmpty() && responses.allWritten()) {
            closeGracefully();
        } else if (dispatcher.drain().closing() && idle()) {
            listener.idleWhileDraining(this);
        }
    }

    /**
     * Closes the output and waits for the client to close the connection: closing with unread input would send a reset,
     * which could overtake the last response.
     */
    public void closeGracefully() {
        if (finished) {
            return;
        }
        finished = true;
        closing = true;
        context.channel().config().setAutoRead(true);
        ((DuplexChannel) context.channel()).shutdownOutput();
        context.executor().schedule(this::closeNow, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection at once, whatever is under way on it. */
    void closeNow() {
        closedByProxy = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        closing = true;
        finished = true;
        receiver.input().release();
        super.channelInactive(ctx);
        receiver.dropIncoming();
        responses.drop(closedByProxy);
        listener.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        dispatcher.failures().connectionFailed(cause);
        closedByProxy |= !(cause instanceof IOException);
        ctx.close();
    }

    // ---- takeover

    /**
     * Passes the connection to the successor, and closes it here without a word to the client. In a task of its own:
     * what is being read or written now is done then.
     *
     * @param successor passes a channel on and reports whether that succeeded
     */
    public void handOverTo(BiConsumer<Channel, Consumer<Boolean>> successor) {
        if (passing || finished) {
            return;
        }
        passing = true;
        context.channel().config().setAutoRead(false); // what arrives now is the successor's to read
        context.executor().execute(() -> {
            if (idle() && !finished) {
                successor.accept(context.channel(), this::passed);
            } else {
                keep();
            }
        });
    }

    private void passed(boolean done) {
        if (done) {
            finished = true;
            context.close(); // this process's descriptor alone
        } else {
            keep();
            if (idle()) {
                closeGracefully();
            }
        }
    }

    private void keep() {
        passing = false;
        context.channel().config().setAutoRead(true);
    }
}

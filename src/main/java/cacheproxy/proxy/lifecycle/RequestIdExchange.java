package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.SharedRequestIds;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.takeover.UsedRequestId;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Exchanges the ids of accepted requests with the other process of a takeover, on a connection of its own at the socket
 * of {@link HandoverServer}: first all that are in use and the line {@link #ALL_SENT}, then each one that is accepted,
 * before its first attempt begins. While the other process does not read, nothing is queued for it; then it is sent all
 * again. The last handler of its channel. Event loop only.
 */
final class RequestIdExchange extends SimpleChannelInboundHandler<ByteBuf> {
    /** Asks for the exchange, with the version of its lines. */
    static final String REQUEST = "IDS 1";

    private static final String ALL_SENT = "ALL";
    private static final int TYPICAL_LINE_BYTES = 32;
    /** Above the high mark, ids are no longer queued; it has room for all that may be in use. In bytes. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(1 << 20, 2 << 20);

    private final SharedRequestIds ids;
    private final Runnable onAllReceived;
    private Runnable stopListening = () -> {};
    private ChannelHandlerContext context;
    private boolean flushScheduled;
    /** Whether an id was accepted that could not be sent. */
    private boolean incomplete;

    /** {@code onAllReceived}: runs once the ids that the other process had in use are known, or at the end. */
    RequestIdExchange(SharedRequestIds ids, Runnable onAllReceived) {
        this.ids = ids;
        this.onAllReceived = onAllReceived;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        ctx.channel().config().setWriteBufferWaterMark(WATER_MARK);
        if (ctx.channel().isActive()) {
            begin();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        write(REQUEST);
        begin();
    }

    private void begin() {
        stopListening = ids.listen(this::send);
        sendAll();
    }

    private void sendAll() {
        incomplete = false;
        List<UsedRequestId> used = ids.used();
        ByteBuf text = context.alloc().buffer(used.size() * TYPICAL_LINE_BYTES);
        used.forEach(id -> append(text, id.toLine()));
        append(text, ALL_SENT);
        context.writeAndFlush(text);
    }

    private void send(UsedRequestId id) {
        if (!context.channel().isWritable()) {
            incomplete = true;
            return;
        }
        write(id.toLine());
        if (!flushScheduled) {
            flushScheduled = true;
            // Before the attempts of the requests, which are ordered later.
            InputBarrier.afterInput(context.channel().eventLoop(), this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        context.flush();
    }

    private void write(String line) {
        ByteBuf text = context.alloc().buffer(line.length() + 1);
        append(text, line);
        context.write(text);
    }

    private static void append(ByteBuf text, String line) {
        text.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        text.writeByte('\n');
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (incomplete && ctx.channel().isWritable()) {
            sendAll();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        String line = bytes.toString(StandardCharsets.ISO_8859_1);
        if (line.equals(ALL_SENT)) {
            onAllReceived.run();
            return;
        }
        try {
            ids.add(UsedRequestId.parse(line));
        } catch (IllegalArgumentException e) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopListening.run();
        onAllReceived.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

package cacheproxy.proxy;

import cacheproxy.flow.ReadTimeout;
import cacheproxy.metrics.EventKind;
import cacheproxy.route.Routing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

@SuppressWarnings("OperatorPrecedence") // && binds before ||; parentheses follow as lines are touched
final class ClientConnection extends PausableDecoder {
    private static final int MAX_PIPELINED = 32;
    private static final long LINGER_MS = 300;
    /** A client that has taken nothing of its answers for so long is given up. */
    private static final double ANSWER_STALLED_MS = 10_000;

    private static final String BAD_FORMAT = "CLIENT_ERROR bad command line format\r\n";
    /** Stands for a write of which no request can be made; its value is read and dropped. */
    private static final RequestCommand NO_REQUEST =
            new RequestCommand(Routing.META, "", null, true, null, DeadlineText.EMPTY, DeadlineText.EMPTY);
    /** A client waits for so long before it may send a value; then it is turned away. */
    private static final double ROOM_WAIT_MS = 2000;

    private final Dispatcher dispatcher;
    /** The answers that are owed, in the order of their requests. */
    private final ArrayDeque<Reply> replies = new ArrayDeque<>();

    private ChannelHandlerContext ctx;
    /** The write whose value is being read, with the bytes still to come; the value is null if there's no room. */
    private RequestCommand incoming;

    private ValueBuffer value;
    private int missing;
    /** The value's room is waited for, and the client's sending with it. */
    private boolean awaitsRoom;

    private boolean closing;
    private boolean finished;
    /** It is ended by this side, and not in order. */
    private boolean closedHere;

    /** Whole commands may be waiting in the decoder. */
    private boolean decodingStopped;

    private final ClientInput input;
    private final boolean adopted;
    private ReadTimeout readTimeout;
    private boolean readTimerSet;
    /** When requests were last taken again after a time in which they were not. */
    private double resumedMs = Double.NEGATIVE_INFINITY;

    private boolean passing;
    private ChannelFuture lastWrite;
    private double activeMs;
    /** Bytes that were still to be handed to the system when it was last looked at. */
    private long unwrittenBefore;

    /** {@code adopted}: another process has accepted it and may have served it. */
    ClientConnection(Dispatcher dispatcher, boolean adopted) {
        this.dispatcher = dispatcher;
        this.adopted = adopted;
        input = new ClientInput(dispatcher);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        activeMs = dispatcher.now();
        readTimeout = adopted ? ReadTimeout.forAdoptedConnection(activeMs) : ReadTimeout.forNewConnection(activeMs);
        setReadTimer();
    }

    /** Between requests: nothing owed, nothing begun, and all answers handed to the system. */
    boolean idle() {
        return replies.isEmpty() && written() && incoming == null && actualReadableBytes() == 0;
    }

    /** Guards the end of an answer that the client takes slowly: ending our side drops what is not written yet. */
    private boolean written() {
        return lastWrite == null || lastWrite.isDone();
    }

    /** It has had an answer: one that is new has a request on its way. */
    boolean used() {
        return lastWrite != null;
    }

    /** It has had an answer, here or of the process that accepted it: no first command of it is waited for. */
    boolean served() {
        return adopted || used();
    }

    /** It has been ended from our side, or is on its way to another process. */
    boolean ending() {
        return finished || passing;
    }

    double activeMs() {
        return activeMs;
    }

    /** The client has taken nothing for too long of what is ready for it. */
    boolean stalled(double now) {
        long unwritten = ctx.channel().unsafe().outboundBuffer() == null
                ? 0
                : ctx.channel().unsafe().outboundBuffer().totalPendingWriteBytes();
        if (unwritten != unwrittenBefore) {
            unwrittenBefore = unwritten;
            activeMs = now; // it takes it, however slowly
        }
        return (finished || !written()) && now - activeMs > ANSWER_STALLED_MS;
    }

    /** Ends it, whatever is on it. */
    void close() {
        closedHere = true;
        ctx.close();
    }

    // ---- what is read, and when it came

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        input.read(context, (ByteBuf) bytes, idle());
        super.channelRead(context, bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        input.readComplete(context, actualReadableBytes());
    }

    /** Nothing more is taken from the client for now, as it has enough under way or can't be answered. */
    private boolean blocked() {
        return replies.size() >= MAX_PIPELINED || !ctx.channel().isWritable() || awaitsRoom;
    }

    private void setReadTimer() {
        double expiresMs = readTimeout.expiresAtMs();
        if (!readTimerSet && expiresMs != Double.POSITIVE_INFINITY) {
            readTimerSet = true;
            dispatcher.after(expiresMs - dispatcher.now(), this::checkReadTimeout);
        }
    }

    /** Decides behind the next round's input: what came while the process was held up is read first. */
    private void checkReadTimeout() {
        ctx.executor()
                .schedule(
                        () -> {
                            readTimerSet = false;
                            if (!closing && !passing && dispatcher.now() >= readTimeout.expiresAtMs()) {
                                readTimedOut();
                            } else if (!closing) {
                                setReadTimer();
                            }
                        },
                        0,
                        TimeUnit.MILLISECONDS);
    }

    /** The client has stopped in the middle of a request, or has said nothing since it came. */
    private void readTimedOut() {
        dispatcher.failures().clientTimedOut(ctx.channel().remoteAddress(), readTimeout);
        if (incoming != null) {
            dropIncoming();
        }
        if (!input.any()) {
            finish(); // a line would be taken for the answer to a request that is on its way
        } else {
            say("CLIENT_ERROR timed out\r\n");
            closing = true;
            flushAnswers();
        }
    }

    // ---- commands

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        activeMs = dispatcher.now();
        if (closing) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (blocked()) {
            stopDecoding(in);
            return;
        }
        try {
            if (incoming != null) {
                value(in);
            } else {
                line(in);
            }
        } catch (MetaCodec.SyntaxException e) {
            // What follows can't be told apart any more.
            dispatcher.log(
                    EventKind.CLIENT_PROTOCOL_ERROR, context.channel().remoteAddress() + " sends " + e.getMessage());
            say("CLIENT_ERROR " + e.getMessage() + "\r\n");
            closing = true;
            flushAnswers();
        }
    }

    private void stopDecoding(ByteBuf in) {
        decodingStopped = true;
        readTimeout.paused(true, dispatcher.now());
        input.blocked(ctx, in.readableBytes());
    }

    private void line(ByteBuf in) throws MetaCodec.SyntaxException {
        String line = MetaCodec.line(in);
        if (line != null) {
            readTimeout.commandCompleted();
            command(line, input.takenCameMs(in.readableBytes()));
        } else if (in.isReadable()) {
            readTimeout.lineStarted(Math.max(input.nextCameMs(in.readableBytes()), resumedMs));
            setReadTimer();
        }
    }

    private void command(String line, double cameMs) throws MetaCodec.SyntaxException {
        MetaCommand parsed = MetaCommand.parse(line);
        switch (parsed.kind()) {
            case NOOP -> say(dispatcher.drain().announced() ? "SERVER_ERROR draining\r\n" : "MN\r\n");
            case UNKNOWN -> say("ERROR\r\n");
            case READ -> {
                if (parsed.command() == null) {
                    say(BAD_FORMAT);
                } else {
                    take(parsed.command(), cameMs);
                }
            }
            case WRITE -> beginValue(parsed, cameMs);
        }
    }

    /** A value follows, whatever is made of it. */
    private void beginValue(MetaCommand write, double cameMs) {
        incoming = write.command() != null ? write.command() : NO_REQUEST;
        missing = write.valueLength() + 2;
        readTimeout.valueStarted(Math.max(cameMs, resumedMs));
        setReadTimer();
        if (write.command() != null) {
            claimRoom(write.command());
        }
    }

    /** Room for the whole value, now or in a while; without any the value is read and dropped. */
    private void claimRoom(RequestCommand command) {
        command.valueReservation = dispatcher.bufferLimits().values().reserve(missing, () -> {
            if (incoming == command) {
                awaitsRoom = false;
                value = new ValueBuffer(ctx.alloc(), missing);
                regulate();
            }
        });
        if (command.valueReservation != null && command.valueReservation.granted()) {
            value = new ValueBuffer(ctx.alloc(), missing);
        } else if (command.valueReservation != null) {
            awaitsRoom = true;
            decodingStopped = true;
            readTimeout.paused(true, dispatcher.now());
            dispatcher.after(ROOM_WAIT_MS, () -> {
                if (incoming == command && awaitsRoom) {
                    awaitsRoom = false;
                    command.release();
                    regulate();
                }
            });
        }
    }

    private void value(ByteBuf in) throws MetaCodec.SyntaxException {
        int n = Math.min(missing, in.readableBytes());
        missing -= n;
        readTimeout.valueReceived(n, dispatcher.now());
        if (value == null) {
            in.skipBytes(n);
        } else {
            value.add(in, n);
        }
        if (missing > 0) {
            return;
        }
        RequestCommand command = incoming;
        incoming = null;
        readTimeout.commandCompleted();
        if (value == null) {
            // No room for the value, or no request that could be made of it. Nothing was sent on.
            if (command.id != null) {
                dispatcher.counters().recordOutcome(command.terms.className(), RequestOutcome.REJECTED);
            }
            say(command.id == null ? BAD_FORMAT : MetaCodec.BUSY + "\r\n");
            return;
        }
        command.value = value.whole();
        value = null;
        int end = command.value.writerIndex();
        if (command.value.getByte(end - 2) != '\r' || command.value.getByte(end - 1) != '\n') {
            command.release();
            throw new MetaCodec.SyntaxException("bad data chunk");
        }
        take(command, input.takenCameMs(in.readableBytes()));
    }

    private void take(RequestCommand command, double cameMs) {
        Reply reply = new Reply(command.id);
        reply.exchange = new ClientRequest(reply, command, cameMs);
        replies.add(reply);
        dispatcher.accept(reply.exchange);
    }

    private void dropIncoming() {
        if (value != null) {
            value.release();
            value = null;
        }
        incoming.release();
        incoming = null;
    }

    // ---- answers

    private void say(String text) {
        Reply reply = new Reply(null);
        replies.add(reply);
        reply.whole(MetaCodec.text(ctx.alloc(), text));
    }

    /** The answer to one request, or to a line that is none. */
    private final class Reply implements ResponseWriter {
        private final String id;
        /** Null for what is answered here. */
        private ClientRequest exchange;
        /** What is ready to go to the client, null once it has been handed on. */
        private ByteBuf ready;
        /** Whether all of the answer has come. */
        private boolean whole;
        /** Where a long answer is read from. */
        private FlowControl source;

        Reply(String id) {
            this.id = id;
        }

        private void whole(ByteBuf text) {
            ready = text;
            whole = true;
            flushAnswers();
        }

        @Override
        public void writeResponse(ServerResponse answer) {
            if (answer instanceof ServerResponse.Receipt r) {
                whole(MetaCodec.text(ctx.alloc(), MetaCodec.receipt(id, r.receipt())));
            } else if (answer instanceof ServerResponse.Value v) {
                whole(value(v.value()));
            } else {
                throw new IllegalStateException("the end of what has not begun");
            }
        }

        /** In one piece, which costs a copy and saves the system's call three buffers. */
        private ByteBuf value(ByteBuf value) {
            String head = MetaCodec.valueHead(value.readableBytes(), id);
            ByteBuf out = ctx.alloc().buffer(head.length() + value.readableBytes() + 2);
            out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
            out.writeBytes(value).writeByte('\r').writeByte('\n');
            value.release();
            return out;
        }

        @Override
        public void reject(double retryAfterMs) {
            whole(MetaCodec.text(
                    ctx.alloc(),
                    retryAfterMs >= 1
                            ? MetaCodec.BUSY + " " + Math.round(retryAfterMs) + "\r\n"
                            : MetaCodec.BUSY + "\r\n"));
        }

        @Override
        public void fail() {
            whole(MetaCodec.text(ctx.alloc(), MetaCodec.FAILED));
        }

        @Override
        public void rejectInvalid(String why) {
            whole(MetaCodec.text(ctx.alloc(), "CLIENT_ERROR " + why + "\r\n"));
        }

        @Override
        public void beginValue(int length, FlowControl flow) {
            source = flow;
            writePart(MetaCodec.text(ctx.alloc(), MetaCodec.valueHead(length, id)));
        }

        @Override
        public void writePart(ByteBuf part) {
            if (finished) {
                part.release();
            } else if (ready == null) {
                ready = part;
            } else {
                CompositeByteBuf parts = ready instanceof CompositeByteBuf c
                        ? c
                        : ctx.alloc().compositeBuffer(64).addComponent(true, ready);
                ready = parts.addComponent(true, part);
            }
            flushAnswers();
        }

        @Override
        public void endValue() {
            source = null; // first, or what is written now holds the connection that the next answer is to come on
            whole = true;
            writePart(MetaCodec.text(ctx.alloc(), "\r\n"));
        }

        /** Only the connection's end tells the client that the value is not whole. */
        @Override
        public void abort() {
            source = null;
            ctx.close();
        }

        /** The connection has ended. */
        private void drop() {
            if (ready != null) {
                ready.release();
                ready = null;
            }
            if (source != null) {
                source.setPaused(false);
                source = null;
            }
            if (exchange != null) {
                dispatcher.clientDisconnected(exchange, closedHere);
            }
        }
    }

    private void flushAnswers() {
        boolean wrote = false;
        Reply head;
        while (!finished && (head = replies.peek()) != null) {
            if (head.ready != null) {
                lastWrite = ctx.write(head.ready);
                head.ready = null;
                wrote = true;
            }
            if (!head.whole) {
                break;
            }
            replies.poll();
        }
        if (wrote) {
            activeMs = dispatcher.now();
            ctx.flush();
            if (!written()) {
                lastWrite.addListener(f -> endIfDue());
            }
        }
        regulate();
        endIfDue();
    }

    private void endIfDue() {
        if (replies.isEmpty() && written() && closing) {
            finish();
        } else if (dispatcher.drain().closing() && idle()) {
            dispatcher.closeWhenIdle(this);
        }
    }

    /**
     * Passes the connection to the process that takes over, and ends it here without a word to the client. In a task of
     * its own: what is being read or written now is done then.
     */
    void pass(HandoverLink to) {
        if (passing || finished) {
            return;
        }
        passing = true;
        ctx.channel().config().setAutoRead(false); // what comes now is the other process's to read
        ctx.executor().execute(() -> {
            if (idle() && !finished) {
                to.pass(ctx.channel(), this::passed);
            } else {
                stay();
            }
        });
    }

    private void passed(boolean done) {
        if (done) {
            finished = true;
            ctx.close(); // this process's hold on the socket alone
        } else {
            stay();
            if (idle()) {
                finish();
            }
        }
    }

    private void stay() {
        passing = false;
        ctx.channel().config().setAutoRead(true);
    }

    private void regulate() {
        for (Reply r : replies) {
            if (r.source != null) {
                r.source.setPaused(r != replies.peek() || !ctx.channel().isWritable());
            }
        }
        if (decodingStopped && !blocked()) {
            decodingStopped = false;
            resumedMs = dispatcher.now();
            readTimeout.paused(false, resumedMs);
            setReadTimer();
            input.unblocked(ctx);
            // What has been read already waits in the decoder; it is not told of the pause's end otherwise.
            ctx.executor().execute(() -> ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Ends the connection from our side and waits for the client to do so: closing with unread input would send a
     * reset, which could overtake the last answer.
     */
    void finish() {
        if (finished) {
            return;
        }
        finished = true;
        closing = true;
        ctx.channel().config().setAutoRead(true);
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        ctx.executor().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        activeMs = dispatcher.now();
        regulate();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        closing = true;
        finished = true;
        input.release();
        super.channelInactive(context);
        if (incoming != null) {
            dropIncoming();
        }
        for (Reply r; (r = replies.poll()) != null; ) {
            r.drop();
        }
        dispatcher.clientLeft(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        dispatcher.failures().connectionFailed(cause);
        closedHere |= !(cause instanceof IOException);
        ctx.close();
    }
}

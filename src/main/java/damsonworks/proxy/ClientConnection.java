package damsonworks.proxy;

import damsonworks.proxy.Exchange.Command;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

final class ClientConnection extends ByteToMessageDecoder {
    private static final int MAX_PIPELINED = 32;
    private static final long LINGER_MS = 300;
    private static final double STALLED_MS = 10_000;

    private final Dispatcher dispatcher;
    private final ArrayDeque<Exchange> exchanges = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    /** The write whose value is being read, with the bytes still to come; the value is null if there's no room. */
    private Command incoming;
    private int missing;
    private int reserved;
    private boolean closing;
    private boolean finished;
    private boolean readPaused;
    private ChannelFuture lastWrite;
    private double activeMs;

    ClientConnection(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        activeMs = dispatcher.now();
    }

    /** Between requests: nothing owed, nothing begun, and all answers handed to the system. */
    boolean idle() {
        return exchanges.isEmpty() && written() && incoming == null && actualReadableBytes() == 0;
    }

    /** Guards the end of an answer that the client takes slowly: ending our side drops what is not written yet. */
    private boolean written() {
        return lastWrite == null || lastWrite.isDone();
    }

    /** It has been ended from our side. */
    boolean ending() {
        return finished;
    }

    double activeMs() {
        return activeMs;
    }

    boolean stalled(double now) {
        return now - activeMs > STALLED_MS && (!idle() || finished);
    }

    void close() {
        ctx.close();
    }

    // ---- commands

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        activeMs = dispatcher.now();
        if (closing) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (exchanges.size() >= MAX_PIPELINED || !ctx.channel().isWritable()) {
            pauseReading();
            return;
        }
        try {
            if (incoming != null) {
                value(in);
            } else {
                String line = MetaCodec.line(in);
                if (line != null) {
                    command(line);
                }
            }
        } catch (MetaCodec.SyntaxException e) {
            // What follows can't be told apart any more.
            say("CLIENT_ERROR " + e.getMessage() + "\r\n");
            closing = true;
            flushAnswers();
        }
    }

    private void command(String line) throws MetaCodec.SyntaxException {
        if (line.equals("mn")) {
            say(dispatcher.drainTold() ? "SERVER_ERROR draining\r\n" : "MN\r\n");
            return;
        }
        boolean write = line.startsWith("ms ");
        if (!write && !line.startsWith("mg ")) {
            say("ERROR\r\n");
            return;
        }
        String key = MetaCodec.wordAt(line, 3);
        int flags = 3 + key.length() + 1;
        int length = 0;
        if (write) {
            String word = MetaCodec.wordAt(line, flags);
            length = MetaCodec.length(word);
            flags += word.length() + 1;
        }
        String id = MetaCodec.flag(line, flags, 'O');
        String extras = MetaCodec.flag(line, flags, 'P');
        boolean bad = key.isEmpty() || key.length() > 250 || id == null || id.isEmpty() || extras == null
                || !printable(line);
        if (bad && !write) {
            say("CLIENT_ERROR bad command line format\r\n");
            return;
        }
        Command command = bad ? null : command(line, key, id, extras, flags, write);
        if (write) {
            incoming = command != null ? command : new Command(key, null, true, "", "", "");
            missing = length + 2;
            if (command != null && dispatcher.reserve(missing)) {
                reserved = missing;
                command.value = ctx.alloc().buffer(Math.min(missing, 16 << 10), missing);
            }
        } else {
            Exchange exchange = new Exchange(this, command);
            exchanges.add(exchange);
            dispatcher.take(exchange);
        }
    }

    /** Guards the servers' connections: one that reads what it can't make out closes on all that wait there. */
    private static boolean printable(String line) {
        return line.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private static Command command(String line, String key, String id, String extras, int flags, boolean write) {
        int list = line.indexOf(" P", flags - 1) + 2;
        int d = MetaCodec.valueAt(extras, "d");
        int at = d < 0 ? line.length() : list + d;
        int end = at;
        while (end < line.length() && line.charAt(end) != ',' && line.charAt(end) != ' ') {
            end++;
        }
        return new Command(key, id, write, extras, line.substring(0, at), line.substring(end));
    }

    private void value(ByteBuf in) throws MetaCodec.SyntaxException {
        int n = Math.min(missing, in.readableBytes());
        missing -= n;
        if (incoming.value == null) {
            in.skipBytes(n);
        } else {
            incoming.value.writeBytes(in, n);
        }
        if (missing > 0) {
            return;
        }
        Command command = incoming;
        incoming = null;
        if (command.value == null) {
            // No room for the value, or no request that could be made of it. Nothing was sent on.
            say(command.id == null ? "CLIENT_ERROR bad command line format\r\n" : MetaCodec.BUSY + "\r\n");
            return;
        }
        int end = command.value.writerIndex();
        if (command.value.getByte(end - 2) != '\r' || command.value.getByte(end - 1) != '\n') {
            dropValue(command);
            throw new MetaCodec.SyntaxException("bad data chunk");
        }
        reserved = 0;
        Exchange exchange = new Exchange(this, command);
        exchanges.add(exchange);
        dispatcher.take(exchange);
    }

    private void dropValue(Command command) {
        command.release();
        dispatcher.giveBack(reserved);
        reserved = 0;
    }

    // ---- answers

    private void say(String text) {
        Exchange exchange = new Exchange(this, null);
        exchanges.add(exchange);
        answer(exchange, MetaCodec.text(ctx.alloc(), text));
    }

    void answer(Exchange exchange, ByteBuf answer) {
        exchange.answer = answer;
        exchange.whole = true;
        flushAnswers();
    }

    void pass(Exchange exchange, ByteBuf part) {
        if (finished) {
            part.release();
        } else if (exchange.answer == null) {
            exchange.answer = part;
        } else {
            CompositeByteBuf parts = exchange.answer instanceof CompositeByteBuf c ? c
                    : ctx.alloc().compositeBuffer(64).addComponent(true, exchange.answer);
            exchange.answer = parts.addComponent(true, part);
        }
        flushAnswers();
    }

    /** A long answer has all been passed on. */
    void passed(Exchange exchange) {
        exchange.whole = true;
        exchange.source = null;
        flushAnswers();
    }

    /** A long answer breaks off: only the connection's end tells the client that it is not whole. */
    void breakOff(Exchange exchange) {
        exchange.source = null;
        ctx.close();
    }

    private void flushAnswers() {
        boolean wrote = false;
        Exchange head;
        while (!finished && (head = exchanges.peek()) != null) {
            if (head.answer != null) {
                lastWrite = ctx.write(head.answer);
                head.answer = null;
                wrote = true;
            }
            if (!head.whole) {
                break;
            }
            exchanges.poll();
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
        if (exchanges.isEmpty() && written() && (closing || dispatcher.draining() && idle())) {
            finish();
        }
    }

    private void regulate() {
        for (Exchange e : exchanges) {
            if (e.source != null) {
                e.source.hold(e != exchanges.peek() || !ctx.channel().isWritable());
            }
        }
        if (readPaused && exchanges.size() < MAX_PIPELINED && ctx.channel().isWritable()) {
            readPaused = false;
            ctx.channel().config().setAutoRead(true);
            // What has been read already waits in the decoder; it is not told of the pause's end otherwise.
            ctx.executor().execute(() -> ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER));
        }
    }

    private void pauseReading() {
        readPaused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /**
     * Ends the connection from our side and waits for the client to do so: closing with unread input would
     * send a reset, which could overtake the last answer.
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
        super.channelInactive(context);
        if (incoming != null) {
            dropValue(incoming);
            incoming = null;
        }
        for (Exchange e; (e = exchanges.poll()) != null;) {
            if (e.answer != null) {
                e.answer.release();
                e.answer = null;
            }
            if (e.source != null) {
                e.source.hold(false);
                e.source = null;
            }
            if (e.command != null) {
                dispatcher.gone(e);
            }
        }
        dispatcher.left(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ctx.close();
    }
}

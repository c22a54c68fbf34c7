package cacheproxy.proxy;

import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.LoadBalancer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.SocketAddress;
import java.util.List;

final class CacheCodec extends PausableDecoder implements UpstreamConnection.Codec {
    private final UpstreamConnection connection;
    private final Dispatcher dispatcher;
    /** Bytes of the value and its line's end that are to come; negative: none, a line is next. */
    private int missing = -1;

    private int length;
    private boolean streamed;
    private boolean dropped;
    private int note;
    private float[] report;
    /** The figures of a probe's answer so far. */
    private String stats = "";

    CacheCodec(UpstreamConnection connection) {
        this.connection = connection;
        this.dispatcher = connection.dispatcher();
        connection.use(this);
    }

    @Override
    public ChannelFuture write(Channel channel, RequestAttempt attempt, long remainingMs, SocketAddress dial) {
        if (attempt.request == null) {
            String probe = dispatcher.loadReports().inHealthChecks() ? "stats load\r\n" : "mn\r\n";
            return channel.writeAndFlush(MetaCodec.encode(channel.alloc(), probe));
        }
        RequestCommand command = attempt.request.command;
        ByteBuf head = MetaCodec.encode(channel.alloc(), command.commandLine.with(remainingMs) + "\r\n");
        if (command.value == null) {
            return channel.writeAndFlush(head);
        }
        channel.write(head);
        return channel.writeAndFlush(command.value.retainedDuplicate());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) throws Exception {
        connection.reading(true);
        super.channelRead(ctx, input);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        connection.reading(false);
        super.channelReadComplete(ctx);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        try {
            if (connection.head() == null) { // whole or not: the next answer would begin with it
                throw new MetaCodec.SyntaxException("answer to nothing");
            }
            if (missing >= 0) {
                value(in);
            } else {
                String line = MetaCodec.readLine(in);
                if (line != null) {
                    answer(line);
                } else if (in.isReadable()) {
                    connection.partial();
                }
            }
        } catch (MetaCodec.SyntaxException e) {
            in.skipBytes(in.readableBytes());
            missing = -1;
            connection.garbage(e.getMessage());
        }
    }

    private void answer(String line) throws MetaCodec.SyntaxException {
        RequestAttempt attempt = connection.head();
        if (attempt.request == null) {
            probed(line);
        } else if (line.startsWith(MetaCodec.BUSY)) {
            connection.ended(AttemptOutcome.REJECTED, 0, report(line), null);
        } else if (line.startsWith("SERVER_ERROR")) {
            connection.ended(AttemptOutcome.ERROR, 0, report(line), null);
        } else if (line.startsWith("VA ") && !attempt.request.command.write) {
            String word = MetaCodec.tokenAt(line, 3);
            length = MetaCodec.parseLength(word);
            flags(attempt, line, 4 + word.length());
            missing = length + 2;
            streamed = length > MetaCodec.MAX_WHOLE_VALUE_BYTES;
            if (streamed) {
                dropped = !connection.begin(length);
            }
        } else if (line.startsWith("HD ") && attempt.request.command.write) {
            flags(attempt, line, 3);
            String receipt = MetaCodec.flag(line, 3, 'c');
            if (receipt == null) {
                throw new MetaCodec.SyntaxException("no receipt");
            }
            connection.ended(AttemptOutcome.OK, note, report, new ServerResponse.Receipt(receipt));
        } else if (line.startsWith("EN")) {
            flags(attempt, line, 3);
            connection.ended(AttemptOutcome.MISS, note, report, null);
        } else {
            throw new MetaCodec.SyntaxException("unknown line");
        }
    }

    private float[] report(String line) {
        return dispatcher.loadReports().parse(MetaCodec.flag(line, MetaCodec.BUSY.length() + 1, 'L'));
    }

    /** What the flags tell; the id must be the attempt's, or answers have lost their order. */
    private void flags(RequestAttempt attempt, String line, int from) throws MetaCodec.SyntaxException {
        if (!attempt.request.command.id.equals(MetaCodec.flag(line, from, 'O'))) {
            throw new MetaCodec.SyntaxException("answer to another request");
        }
        String hit = MetaCodec.flag(line, from, 'h');
        note = "1".equals(hit)
                ? 1
                : !"0".equals(hit)
                        ? 0
                        : MetaCodec.flag(line, from, 'Z') != null ? LoadBalancer.NOTE_FETCH_IN_FLIGHT : 2;
        report = dispatcher.loadReports().parse(MetaCodec.flag(line, from, 'L'));
    }

    private void value(ByteBuf in) throws MetaCodec.SyntaxException {
        if (!streamed) {
            if (in.readableBytes() < missing) {
                connection.partial();
                return;
            }
            end(in, in.readerIndex() + length);
            ByteBuf value = in.readRetainedSlice(length);
            in.skipBytes(2);
            missing = -1;
            connection.ended(AttemptOutcome.OK, note, report, new ServerResponse.Value(value));
            return;
        }
        // The value's end of line is passed on only when it is seen to be one.
        int n = Math.min(missing - 2, in.readableBytes());
        if (n > 0) {
            missing -= n;
            if (dropped) {
                in.skipBytes(n);
            } else {
                connection.part(in.readRetainedSlice(n));
            }
        }
        if (missing == 2 && in.readableBytes() >= 2) {
            end(in, in.readerIndex());
            in.skipBytes(2);
            missing = -1;
            connection.ended(AttemptOutcome.OK, note, report, dropped ? null : ServerResponse.EndOfValue.INSTANCE);
        }
    }

    private static void end(ByteBuf in, int at) throws MetaCodec.SyntaxException {
        if (in.getByte(at) != '\r' || in.getByte(at + 1) != '\n') {
            throw new MetaCodec.SyntaxException("value without end");
        }
    }

    private void probed(String line) {
        if (line.startsWith("STAT ")) {
            String name = MetaCodec.tokenAt(line, 5);
            stats += name + "=" + MetaCodec.tokenAt(line, 6 + name.length()) + ",";
        } else {
            boolean ok = line.equals("MN") || line.equals("END");
            float[] figures =
                    MetaCodec.loadReport(stats, dispatcher.loadReports().fields());
            stats = "";
            connection.ended(ok ? AttemptOutcome.OK : AttemptOutcome.ERROR, 0, figures, null);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        connection.closed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        dispatcher.failures().connectionFailed(cause);
        ctx.close();
    }
}

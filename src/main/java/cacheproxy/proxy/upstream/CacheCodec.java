package cacheproxy.proxy.upstream;

import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.PausableDecoder;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.proxy.protocol.ValueBuffer;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.LoadBalancer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.net.SocketAddress;
import java.util.List;

/**
 * The client side of the meta text protocol, towards a cache node. Event loop only.
 *
 * <pre>
 * response line           outcome
 * VA length flags         OK, with a value
 * HD flags                OK, with a receipt (flag c)
 * EN flags                MISS
 * SERVER_ERROR busy       REJECTED
 * SERVER_ERROR ...        ERROR
 * MN, STAT ..., END       of a health check
 *
 * flag                    meaning
 * O                       the id of the request
 * h                       1: a hit, 0: a miss
 * Z                       of a miss: the object is being fetched
 * L                       load report
 * </pre>
 */
final class CacheCodec extends PausableDecoder implements ServerCodec {
    private static final String VALUE = "VA ";
    private static final String STORED = "HD ";
    private static final String MISS = "EN";
    private static final String ERROR = "SERVER_ERROR";
    private static final String STAT = "STAT ";
    private static final String STAT_END = "END";
    private static final String NO_OP_RESPONSE = "MN";
    private static final String NO_OP = "mn\r\n";
    private static final String LOAD_QUERY = "stats load\r\n";
    private static final int LINE_END_BYTES = 2;
    /** A value of up to this length is decoded from the input once all of it has arrived, in bytes. */
    private static final int MAX_VALUE_IN_INPUT_BYTES = 4 << 10;
    /** No value is being received. */
    private static final int NO_VALUE = -1;

    private static final int NOTE_NONE = 0;
    private static final int NOTE_HIT = 1;
    private static final int NOTE_MISS = 2;

    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final LoadReports loadReports;
    /** Bytes of the value and its line end that have not arrived yet; {@link #NO_VALUE} if a line is next. */
    private int remainingBytes = NO_VALUE;

    private int length;
    private boolean streamed;
    /** Whether the value is discarded, because nobody waits for it. */
    private boolean discarded;
    /** What has arrived of a value that is neither streamed nor decoded from the input; null if there is none. */
    private ValueBuffer body;

    private final BodyMemory bodyMemory;

    private int note;
    private float[] report;
    /** The load statistics of a health check's response so far, as a list such as {@code a=1,b=2,}. */
    private String stats = "";

    CacheCodec(UpstreamConnection connection) {
        this.connection = connection;
        this.context = connection.context();
        loadReports = new LoadReports(context);
        bodyMemory = new BodyMemory(connection);
        connection.setCodec(this);
    }

    @Override
    public ChannelFuture write(Channel channel, UpstreamAttempt attempt, long remainingMs, SocketAddress address) {
        if (attempt.isHealthCheck()) {
            String check = loadReports.inHealthChecks() ? LOAD_QUERY : NO_OP;
            return channel.writeAndFlush(MetaCodec.encode(channel.alloc(), check));
        }
        RequestCommand command = attempt.command();
        ByteBuf line = MetaCodec.encode(channel.alloc(), command.commandLine.with(remainingMs) + "\r\n");
        if (command.value == null) {
            return channel.writeAndFlush(line);
        }
        channel.write(line);
        return channel.writeAndFlush(command.value.retainedDuplicate());
    }

    @Override
    public boolean responsesCarryRequestId() {
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext channelContext, Object input) throws Exception {
        connection.setReading(true);
        super.channelRead(channelContext, input);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext channelContext) throws Exception {
        connection.setReading(false);
        super.channelReadComplete(channelContext);
    }

    @Override
    protected void decode(ChannelHandlerContext channelContext, ByteBuf in, List<Object> out) {
        try {
            if (connection.currentAttempt() == null) { // even a partial line would be taken for the next response
                throw new MetaCodec.SyntaxException("response without a request");
            }
            if (remainingBytes == NO_VALUE) {
                decodeLine(in);
            } else if (streamed || discarded || body != null) {
                receiveValue(in);
            } else {
                decodeValue(in);
            }
        } catch (MetaCodec.SyntaxException e) {
            in.skipBytes(in.readableBytes());
            remainingBytes = NO_VALUE;
            releaseBody();
            connection.protocolError(e.getMessage());
        }
    }

    private void decodeLine(ByteBuf in) throws MetaCodec.SyntaxException {
        String line = MetaCodec.readLine(in);
        if (line == null) {
            if (in.isReadable()) {
                connection.responseProgressed();
            }
        } else if (connection.currentAttempt().isHealthCheck()) {
            healthCheckLine(line);
        } else {
            responseLine(line, connection.currentAttempt().command(), in.alloc());
        }
    }

    private void responseLine(String line, RequestCommand command, ByteBufAllocator alloc)
            throws MetaCodec.SyntaxException {
        if (line.startsWith(MetaCodec.BUSY)) {
            connection.responseCompleted(AttemptOutcome.REJECTED, NOTE_NONE, errorReport(line), null);
        } else if (line.startsWith(ERROR)) {
            connection.responseCompleted(AttemptOutcome.ERROR, NOTE_NONE, errorReport(line), null);
        } else if (line.startsWith(VALUE) && !command.write) {
            beginValue(line, command, alloc);
        } else if (line.startsWith(STORED) && command.write) {
            decodeFlags(line, STORED.length(), command);
            String receipt = MetaCodec.flag(line, STORED.length(), 'c');
            if (receipt == null) {
                throw new MetaCodec.SyntaxException("response to a write without a receipt");
            }
            connection.responseCompleted(AttemptOutcome.OK, note, report, new ServerResponse.Receipt(receipt));
        } else if (line.startsWith(MISS)) {
            decodeFlags(line, MISS.length() + 1, command);
            connection.responseCompleted(AttemptOutcome.MISS, note, report, null);
        } else {
            throw new MetaCodec.SyntaxException("unknown response line");
        }
    }

    private void beginValue(String line, RequestCommand command, ByteBufAllocator alloc)
            throws MetaCodec.SyntaxException {
        String lengthToken = MetaCodec.tokenAt(line, VALUE.length());
        length = MetaCodec.parseLength(lengthToken);
        decodeFlags(line, VALUE.length() + lengthToken.length() + 1, command);
        remainingBytes = length + LINE_END_BYTES;
        streamed = length > MetaCodec.MAX_WHOLE_VALUE_BYTES;
        if (streamed) {
            discarded = !connection.beginValue(length);
        } else {
            discarded = connection.currentAttempt().hasEnded();
            if (!discarded && length > MAX_VALUE_IN_INPUT_BYTES) {
                beginBody(alloc);
            }
        }
    }

    private void beginBody(ByteBufAllocator alloc) throws MetaCodec.SyntaxException {
        if (!bodyMemory.reserve(length)) {
            throw new MetaCodec.SyntaxException("no budget for the value");
        }
        body = new ValueBuffer(alloc, length);
    }

    @Override
    public void discardBody() {
        discarded |= body != null;
        releaseBody();
    }

    private void releaseBody() {
        bodyMemory.release();
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private float[] errorReport(String line) {
        return loadReports.parse(MetaCodec.flag(line, MetaCodec.BUSY.length() + 1, 'L'));
    }

    /**
     * Decodes the flags from this index on. The id must be that of the request; otherwise responses are out of order.
     */
    private void decodeFlags(String line, int from, RequestCommand command) throws MetaCodec.SyntaxException {
        if (!command.id.equals(MetaCodec.flag(line, from, 'O'))) {
            throw new MetaCodec.SyntaxException("response to another request");
        }
        note = decodeNote(line, from);
        report = loadReports.parse(MetaCodec.flag(line, from, 'L'));
    }

    private static int decodeNote(String line, int from) {
        String hit = MetaCodec.flag(line, from, 'h');
        if ("1".equals(hit)) {
            return NOTE_HIT;
        }
        if (!"0".equals(hit)) {
            return NOTE_NONE;
        }
        return MetaCodec.flag(line, from, 'Z') != null ? LoadBalancer.NOTE_FETCH_IN_FLIGHT : NOTE_MISS;
    }

    private void decodeValue(ByteBuf in) throws MetaCodec.SyntaxException {
        if (in.readableBytes() < remainingBytes) {
            connection.responseProgressed();
            return;
        }
        requireLineEnd(in, in.readerIndex() + length);
        ByteBuf value = in.readRetainedSlice(length);
        in.skipBytes(LINE_END_BYTES);
        remainingBytes = NO_VALUE;
        connection.responseCompleted(AttemptOutcome.OK, note, report, new ServerResponse.Value(value));
    }

    /**
     * Passes on or collects the part of the value that has arrived. Its end is passed on only once the line end after
     * it is verified.
     */
    private void receiveValue(ByteBuf in) throws MetaCodec.SyntaxException {
        int available = Math.min(remainingBytes - LINE_END_BYTES, in.readableBytes());
        if (available > 0) {
            remainingBytes -= available;
            receivePart(in, available);
        }
        if (remainingBytes == LINE_END_BYTES && in.readableBytes() >= LINE_END_BYTES) {
            requireLineEnd(in, in.readerIndex());
            in.skipBytes(LINE_END_BYTES);
            remainingBytes = NO_VALUE;
            connection.responseCompleted(AttemptOutcome.OK, note, report, takeResponse());
        } else if (!streamed) {
            connection.responseProgressed();
        }
    }

    private void receivePart(ByteBuf in, int available) {
        if (discarded) {
            in.skipBytes(available);
        } else if (streamed) {
            connection.writePart(in.readRetainedSlice(available));
        } else {
            body.add(in, available);
        }
    }

    /** The value that has arrived completely; null if it is discarded. */
    private ServerResponse takeResponse() {
        if (discarded) {
            return null;
        }
        if (streamed) {
            return ServerResponse.EndOfValue.INSTANCE;
        }
        ServerResponse value = new ServerResponse.Value(body.assemble());
        releaseBody();
        return value;
    }

    private static void requireLineEnd(ByteBuf in, int index) throws MetaCodec.SyntaxException {
        if (in.getByte(index) != '\r' || in.getByte(index + 1) != '\n') {
            throw new MetaCodec.SyntaxException("value without a line end");
        }
    }

    private void healthCheckLine(String line) throws MetaCodec.SyntaxException {
        if (line.startsWith(STAT)) {
            String name = MetaCodec.tokenAt(line, STAT.length());
            if (stats.length() > MetaCodec.MAX_LINE_BYTES) {
                throw new MetaCodec.SyntaxException("load report too long");
            }
            stats += name + "=" + MetaCodec.tokenAt(line, STAT.length() + name.length() + 1) + ",";
            return;
        }
        boolean healthy = line.equals(NO_OP_RESPONSE) || line.equals(STAT_END);
        float[] report = MetaCodec.loadReport(stats, loadReports.fields());
        stats = "";
        connection.responseCompleted(healthy ? AttemptOutcome.OK : AttemptOutcome.ERROR, NOTE_NONE, report, null);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) throws Exception {
        super.channelInactive(channelContext);
        releaseBody();
        connection.channelClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        context.connectionFailed(cause);
        channelContext.close();
    }
}

package cacheproxy.proxy;

import cacheproxy.flow.ByteBudget;
import cacheproxy.proxy.discovery.Addresses;
import cacheproxy.routing.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;

/** HTTP/1.1 towards the origin. */
@SuppressWarnings("OperatorPrecedence") // && binds before ||; parentheses follow as lines are touched
final class OriginCodec extends SimpleChannelInboundHandler<HttpObject> implements UpstreamConnection.Codec {
    private static final String LOAD = "Srv-Load";

    private final UpstreamConnection connection;
    private final Dispatcher dispatcher;
    private HttpResponse response;
    /** A short answer's body so far, or one whose length was not told; null where it is dropped or streamed. */
    private ValueBuffer body;
    /** Room for a body whose length was not told, claimed as it grows: whoever finds none does not wait for it. */
    private final ArrayDeque<ByteBudget.Reservation> room = new ArrayDeque<>();

    private long missing;
    private boolean streamed;
    private boolean broken;

    private OriginCodec(UpstreamConnection connection) {
        this.connection = connection;
        this.dispatcher = connection.dispatcher();
        connection.use(this);
    }

    static ChannelHandler[] handlers(UpstreamConnection connection) {
        return new ChannelHandler[] {new HttpRequestEncoder(), new Responses(connection), new OriginCodec(connection)};
    }

    /** Guards against bytes that come while nothing is asked: kept back, they would begin the next answer. */
    private static final class Responses extends HttpResponseDecoder {
        private static final int MAX_HEADERS = 8192;
        private static final int MAX_PART = 64 << 10;

        private final UpstreamConnection connection;

        Responses(UpstreamConnection connection) {
            super(MetaCodec.MAX_LINE_BYTES, MAX_HEADERS, MAX_PART);
            this.connection = connection;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (connection.head() != null) {
                super.decode(ctx, in, out);
                return;
            }
            boolean lineEnds = in.forEachByte(b -> b == '\r' || b == '\n') < 0; // which are no answer's beginning
            in.skipBytes(in.readableBytes());
            if (!lineEnds) {
                connection.garbage("answer to nothing");
            }
        }
    }

    @Override
    public ChannelFuture write(Channel channel, RequestAttempt attempt, long remainingMs, SocketAddress dial) {
        FullHttpRequest request;
        if (attempt.request == null) {
            String path = dispatcher.loadReports().inHealthChecks() ? "/metrics/load" : "/alive";
            request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        } else {
            RequestCommand command = attempt.request.command;
            String path = "/" + URLEncoder.encode(command.key, StandardCharsets.ISO_8859_1);
            ByteBuf value = !command.write
                    ? Unpooled.EMPTY_BUFFER
                    : command.value.retainedSlice(0, command.value.readableBytes() - 2);
            request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, command.write ? HttpMethod.PUT : HttpMethod.GET, path, value);
            request.headers().set("Req-Id", command.id).set("Req-Extra", command.originParameters.with(remainingMs));
            if (command.write) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, value.readableBytes());
            }
        }
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(dial));
        return channel.writeAndFlush(request);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        connection.reading(false);
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        connection.reading(true);
        if (broken || connection.cutOff()) { // the decoder makes a body without length whole when the connection ends
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("not HTTP");
            return;
        }
        if (message instanceof HttpResponse r) {
            begin(ctx, r);
        }
        if (response != null && message instanceof HttpContent content) {
            content(content);
            if (!broken && content instanceof LastHttpContent) {
                end(ctx);
            }
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpResponse r) {
        RequestAttempt attempt = connection.head();
        if (r.status().code() < 200) {
            response = null;
            return;
        }
        response = r;
        missing = HttpUtil.getContentLength(r, -1L);
        if (unreadable(r.headers())) {
            fail("header line without colon");
            return;
        }
        if (missing > MetaCodec.MAX_VALUE_BYTES) {
            fail("too long");
            return;
        }
        if (missing < 0 && !HttpUtil.isTransferEncodingChunked(r) && HttpUtil.isKeepAlive(r)) {
            fail("no length and no end"); // none can tell whether it is whole
            return;
        }
        streamed = r.status().code() == 200
                && attempt.request != null
                && !attempt.request.command.write
                && missing > MetaCodec.MAX_WHOLE_VALUE_BYTES;
        body = null;
        if (!streamed) {
            body = new ValueBuffer(ctx.alloc(), missing < 0 ? MetaCodec.MAX_VALUE_BYTES : (int) missing);
            connection.partial();
        } else if (connection.begin((int) missing)) {
            return;
        } else {
            streamed = false; // nobody waits: what comes is read and dropped
        }
    }

    /**
     * Guards against an answer with a line that is no header: the decoder takes it for a name without value. Only the
     * load report may be of no use in an answer that is good.
     */
    private static boolean unreadable(HttpHeaders headers) {
        for (Map.Entry<String, String> h : headers) {
            if (h.getValue().isEmpty() && !h.getKey().equalsIgnoreCase(LOAD)) {
                return true;
            }
        }
        return false;
    }

    private void content(HttpContent content) {
        ByteBuf part = content.content();
        if (streamed) {
            if (part.isReadable()) {
                connection.part(part.retain());
            }
        } else if (body != null) {
            int length = body.length() + part.readableBytes();
            if (length > MetaCodec.MAX_VALUE_BYTES) {
                fail("too long");
            } else if (!claim(length - MetaCodec.MAX_WHOLE_VALUE_BYTES)) {
                fail("no room for it");
            } else {
                body.add(part, part.readableBytes());
                connection.partial();
            }
        }
    }

    private boolean claim(int bytes) {
        while (room.size() * (long) MetaCodec.MAX_WHOLE_VALUE_BYTES < bytes) {
            ByteBudget.Reservation ticket =
                    dispatcher.bufferLimits().values().reserve(MetaCodec.MAX_WHOLE_VALUE_BYTES, () -> {});
            if (ticket == null || !ticket.granted()) {
                if (ticket != null) {
                    ticket.release();
                }
                return false;
            }
            room.add(ticket);
        }
        return true;
    }

    @SuppressWarnings("UnusedVariable") // ctx: as the other steps of decoding take it
    private void end(ChannelHandlerContext ctx) {
        HttpResponse r = response;
        ByteBuf whole = body == null ? null : body.assemble();
        response = null;
        drop();
        if (!HttpUtil.isKeepAlive(r) || !HttpUtil.isContentLengthSet(r) && !HttpUtil.isTransferEncodingChunked(r)) {
            connection.retire();
        }
        RequestAttempt attempt = connection.head();
        float[] report = dispatcher.loadReports().parse(r.headers().get(LOAD));
        int code = r.status().code();
        if (attempt.request == null) {
            release(whole);
            connection.ended(code == 200 ? AttemptOutcome.OK : AttemptOutcome.ERROR, 0, report, null);
        } else if (code == 200) {
            connection.ended(AttemptOutcome.OK, 0, report, answer(attempt.request.command, whole));
        } else {
            release(whole);
            boolean declined =
                    (code == 503 || code == 504) && "1".equals(r.headers().get("Srv-Declined"));
            connection.ended(declined ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR, 0, report, null);
        }
    }

    private ServerResponse answer(RequestCommand command, ByteBuf whole) {
        if (streamed || whole == null) {
            return ServerResponse.EndOfValue.INSTANCE;
        }
        if (command.write) {
            String receipt = whole.toString(StandardCharsets.ISO_8859_1).trim();
            whole.release();
            return new ServerResponse.Receipt(receipt);
        }
        return new ServerResponse.Value(whole);
    }

    private static void release(ByteBuf buf) {
        if (buf != null) {
            buf.release();
        }
    }

    /** Lets go of the body; what has been handed on is in the client's hands. */
    private void drop() {
        if (body != null) {
            body.release();
            body = null;
        }
        for (ByteBudget.Reservation t; (t = room.poll()) != null; ) {
            t.release();
        }
    }

    private void fail(String what) {
        broken = true;
        drop();
        connection.garbage(what);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken = true;
        drop();
        connection.closed();
    }

    /** A body that only the connection's end ends is whole if that is an orderly one (RFC 9112, 6.3). */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        dispatcher.failures().connectionFailed(cause);
        broken = true;
        drop();
        ctx.close();
    }
}

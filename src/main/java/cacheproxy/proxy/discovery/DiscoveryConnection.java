package cacheproxy.proxy.discovery;

import cacheproxy.proxy.transport.ConnectFutures;
import cacheproxy.proxy.transport.HandlerInitializer;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.proxy.transport.TurnedReading;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP/1.1 connection to discovery: one request at a time, kept alive between requests; once closed, the next
 * request opens it again. On the event loop only.
 *
 * <pre>
 * IDLE               -> CONNECTING         a request, and no open connection
 * IDLE, CONNECTING   -> AWAITING_RESPONSE  the request is written
 * any                -> IDLE               the response is complete, has failed, or is no longer awaited
 * </pre>
 */
final class DiscoveryConnection {
    private static final int MAX_LIST_BYTES = 4 << 20;

    private enum State {
        IDLE,
        CONNECTING,
        AWAITING_RESPONSE
    }

    /**
     * Handles the response to a request. Exactly one of the last three methods is called, unless {@link #close} ends
     * the request.
     */
    interface ResponseHandler {
        /** The head of a response has been received. */
        void onResponseStarted();

        /** A response with status 200 is complete. */
        void onResponse(String body);

        /** The connection could not be established, or the response has a status other than 200. */
        void onRejected(String reason);

        /** The connection closed before the response was complete, or the response is not valid HTTP. */
        void onBroken(String reason);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final InputTurns turns;
    private final InetSocketAddress address;
    private State state = State.IDLE;
    /** Null while idle. */
    private ResponseHandler handler;
    /** Null before the first request and once the connection is closed. */
    private Channel channel;

    DiscoveryConnection(EventLoop loop, Bootstrap bootstrap, InputTurns turns, InetSocketAddress address) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.turns = turns;
        this.address = address;
    }

    /** Where discovery listens. */
    InetSocketAddress address() {
        return address;
    }

    /** Whether the connection is open, so that the next request does not need a new one. */
    boolean isActive() {
        return channel != null && channel.isActive();
    }

    /** Sends a {@code GET} request. The connection must be idle. */
    void send(String uri, ResponseHandler responseHandler) {
        handler = responseHandler;
        if (isActive()) {
            write(uri);
        } else {
            connectAndWrite(uri, responseHandler);
        }
    }

    private void connectAndWrite(String uri, ResponseHandler responseHandler) {
        state = State.CONNECTING;
        TurnedReading reading = new TurnedReading(turns, true);
        ChannelFuture connecting = bootstrap
                .clone()
                .option(ChannelOption.RECVBUF_ALLOCATOR, reading.reads())
                .handler(new HandlerInitializer(
                        reading,
                        new HttpClientCodec(),
                        new ResponseHeadHandler(),
                        new HttpObjectAggregator(MAX_LIST_BYTES),
                        new CompleteResponseHandler()))
                .connect(address);
        Channel opened = ConnectFutures.channel(connecting);
        channel = opened;
        ConnectFutures.whenDone(loop, connecting, () -> {
            if (handler != responseHandler || channel != opened) {
                return; // closed meanwhile
            }
            if (connecting.isSuccess()) {
                write(uri);
            } else {
                release().onRejected("connection failed");
            }
        });
    }

    private void write(String uri) {
        state = State.AWAITING_RESPONSE;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        channel.writeAndFlush(request);
    }

    /** Closes the connection. The handler of a pending request is not called. */
    void close() {
        becomeIdle();
        if (channel != null) {
            Channel ended = channel;
            channel = null; // data that arrives while it closes belongs to no request
            ended.close();
        }
    }

    private void becomeIdle() {
        state = State.IDLE;
        handler = null;
    }

    /** Closes the connection and returns the handler of the pending request. */
    private ResponseHandler release() {
        ResponseHandler pending = handler;
        close();
        return pending;
    }

    private final class ResponseHeadHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpResponse && ctx.channel() == channel && state != State.IDLE) {
                handler.onResponseStarted();
            }
            ctx.fireChannelRead(message);
        }
    }

    private final class CompleteResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || state == State.IDLE) {
                return; // closed already: on close, the aggregator emits the part of a response that had arrived
            }
            if (!response.decoderResult().isSuccess()) {
                release().onBroken("invalid HTTP response");
                return;
            }
            if (response.status().code() != HttpResponseStatus.OK.code()) {
                release().onRejected("status " + response.status().code());
                return;
            }
            ResponseHandler answered = handler;
            becomeIdle();
            if (!HttpUtil.isKeepAlive(response)) {
                close();
            }
            answered.onResponse(response.content().toString(StandardCharsets.UTF_8));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() != channel) {
                return;
            }
            switch (state) {
                case IDLE -> channel = null;
                case AWAITING_RESPONSE -> release().onBroken("connection closed before the response was complete");
                case CONNECTING -> {} // reported by the connect future
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

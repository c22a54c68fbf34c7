package cacheproxy.proxy.discovery;

import cacheproxy.proxy.transport.Connecting;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
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

/** A connection to discovery for one call at a time, kept between calls. On the event loop only. */
final class DiscoveryConnection {
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** How a call ends: one of these, once. */
    interface ResponseHandler {
        /** An answer has begun to come. */
        void onResponseStarted();

        /** The body of an answer that came whole with status 200. */
        void onResponse(String body);

        /** None comes: its connection could not be made, or the call was turned away. */
        void onRejected(String why);

        /** None comes: it broke off, or it is none that can be read. */
        void onBroken(String why);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private Channel channel;
    private ResponseHandler waiting;
    private boolean written;

    DiscoveryConnection(EventLoop loop, Bootstrap bootstrap, InetSocketAddress address) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.address = address;
    }

    /** Whether no call is out on it. */
    boolean idle() {
        return waiting == null;
    }

    /** Whether it is up. */
    boolean isActive() {
        return channel != null && channel.isActive();
    }

    /** Calls. It must be idle. */
    void send(String path, ResponseHandler then) {
        waiting = then;
        written = false;
        if (isActive()) {
            write(path);
            return;
        }
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HeadHandler(),
                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                        new AnswerHandler());
                    }
                })
                .connect(address);
        Channel opened = Connecting.channel(connecting);
        channel = opened;
        Connecting.whenDone(loop, connecting, () -> {
            if (waiting != then || channel != opened) {
                return; // given up meanwhile
            }
            if (connecting.isSuccess()) {
                write(path);
            } else {
                end().onRejected("no connection");
            }
        });
    }

    private void write(String path) {
        written = true;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        channel.writeAndFlush(request);
    }

    /** Ends it. What is out on it is told of nothing. */
    void close() {
        waiting = null;
        if (channel != null) {
            Channel ended = channel;
            channel = null; // what its end still brings out is no answer
            ended.close();
        }
    }

    private ResponseHandler end() {
        ResponseHandler ended = waiting;
        close();
        return ended;
    }

    private final class HeadHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpResponse && ctx.channel() == channel && waiting != null) {
                waiting.onResponseStarted();
            }
            ctx.fireChannelRead(message);
        }
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || waiting == null) {
                return; // given up: its end brings out what had come of an answer
            }
            if (!response.decoderResult().isSuccess()) {
                end().onBroken("no HTTP");
                return;
            }
            if (response.status().code() != HttpResponseStatus.OK.code()) {
                end().onRejected("status " + response.status().code());
                return;
            }
            ResponseHandler answered = waiting;
            waiting = null;
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
            if (waiting == null) {
                channel = null;
            } else if (written) {
                end().onBroken("no answer");
            } // else it did not come up, which is told elsewhere
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

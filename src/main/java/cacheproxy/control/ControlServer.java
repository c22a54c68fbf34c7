package cacheproxy.control;

import cacheproxy.proxy.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The control endpoint: lines in, lines out, on the proxy's event loop and bounded in all that it holds. */
public final class ControlServer implements AutoCloseable {
    /** The longest request, in bytes. */
    static final int MAX_LINE = 64 << 10;
    /** Connections at a time; one more takes the place of the one that has been silent longest. */
    static final int MAX_CONNECTIONS = 16;
    /** A connection that has asked nothing for so long is closed. */
    private static final int SILENT_S = 60;
    /** Answers that a client does not read are kept up to this many bytes. */
    private static final int MAX_UNREAD = 256 << 10;

    private final ControlRegistry registry;
    private final SocketFile file;
    private final Channel server;
    private final Set<Channel> connections = new LinkedHashSet<>();

    /**
     * Listens at this path; not to be called on the event loop.
     *
     * @throws IOException if somebody listens there, or it can't be made
     */
    public ControlServer(EventLoop loop, Path path, ControlRegistry registry) throws IOException {
        this.registry = registry;
        file = SocketFile.prepare(path);
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(Transport.BEST.localServer())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 << 10, MAX_UNREAD))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(Transport.BEST.local(file.temporary()))
                .syncUninterruptibly()
                .channel();
        file.publish();
    }

    private void accepted(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(f -> connections.remove(channel));
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(SILENT_S, TimeUnit.SECONDS),
                        new LineBasedFrameDecoder(MAX_LINE, true, true),
                        new Lines());
    }

    @Override
    public void close() {
        server.close();
        file.remove();
    }

    private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            connections.remove(ctx.channel()); // it has spoken: the last to make room
            connections.add(ctx.channel());
            if (!ctx.channel().isWritable()) {
                ctx.close(); // it asks and does not read
                return;
            }
            say(ctx, registry.answer(line.toString(StandardCharsets.UTF_8)));
        }

        private void say(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), text + "\n"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                ctx.writeAndFlush(ByteBufUtil.writeUtf8(
                                ctx.alloc(),
                                "{\"v\":" + ControlRegistry.VERSION + ",\"ok\":false,\"error\":\"a line of more than "
                                        + MAX_LINE + " bytes\"}\n"))
                        .addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.close();
            }
        }
    }
}

package cacheproxy.control;

import cacheproxy.proxy.Transport;
import com.google.gson.JsonObject;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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

/**
 * The server of the control socket. Speaks {@link ControlProtocol} on the proxy's event loop. Limits the number of
 * connections, the length of requests and the amount of unread answers.
 */
public final class ControlServer implements AutoCloseable {
    /** The maximum length of a request, in bytes. */
    static final int MAX_LINE_BYTES = 64 << 10;
    /** The maximum number of open connections; a further one closes the one that has been idle longest. */
    static final int MAX_CONNECTIONS = 16;
    /** How many connections may wait to be accepted; a longer queue would take long to work off. */
    private static final int BACKLOG = 16;
    /** The time after which a connection that sends nothing is closed, in seconds. */
    private static final int IDLE_TIMEOUT_S = 60;
    /** The maximum size of the answers that are buffered for a client that does not read them, in bytes. */
    private static final int MAX_UNREAD_BYTES = 256 << 10;

    private final ControlRegistry registry;
    private final SocketFile file;
    private final Channel server;
    private final Set<Channel> connections = new LinkedHashSet<>();

    /**
     * Listens on a socket at this path. Blocks, so it must not be called on the event loop.
     *
     * @throws IOException if another process listens there, or the socket can't be created
     */
    public ControlServer(EventLoop loop, Path path, ControlRegistry registry) throws IOException {
        this.registry = registry;
        file = SocketFile.prepare(path);
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(Transport.BEST.domainServer())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(32 << 10, MAX_UNREAD_BYTES))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(Transport.BEST.domainSocketAddress(file.temporary()))
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
                        new ReadTimeoutHandler(IDLE_TIMEOUT_S, TimeUnit.SECONDS),
                        new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new RequestHandler());
    }

    @Override
    public void close() {
        server.close();
        file.remove();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            connections.remove(ctx.channel()); // moved to the end, as the most recently used
            connections.add(ctx.channel());
            if (!ctx.channel().isWritable()) {
                ctx.close(); // the client sends requests without reading the answers
                return;
            }
            send(ctx, registry.answer(line.toString(StandardCharsets.UTF_8)));
        }

        private static ChannelFuture send(ChannelHandlerContext ctx, String answer) {
            return ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), answer + "\n"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                JsonObject answer = ControlProtocol.failure("a line of more than " + MAX_LINE_BYTES + " bytes");
                send(ctx, answer.toString()).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.close();
            }
        }
    }
}

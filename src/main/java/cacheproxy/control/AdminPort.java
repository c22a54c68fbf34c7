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
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The admin port: one command per connection, which is closed after the answer. Runs on the proxy's event loop. The
 * number of connections and the duration of each are limited, as some clients send nothing, or half a command, and stay
 * connected.
 */
public final class AdminPort implements AutoCloseable {
    /** The maximum number of open connections; a further one closes the oldest. */
    static final int MAX_CONNECTIONS = 32;
    /** The maximum length of a command, in bytes. */
    static final int MAX_LINE_BYTES = 256;

    /** The maximum duration of a connection, in seconds. */
    private static final int CONNECTION_TIMEOUT_S = 5;

    /** What is read of a connection in one iteration of the event loop, in bytes; one line is enough. */
    private static final int READ_BYTES = 1024;

    private static final Map<String, AdminCommand> COMMANDS =
            List.<AdminCommand>of(new HealthCommand(), new DumpCommand(), new HandoverCommand()).stream()
                    .collect(Collectors.toUnmodifiableMap(AdminCommand::wireName, Function.identity()));

    private final ControlRegistry registry;
    private final Channel server;
    private final Set<Channel> connections = new LinkedHashSet<>();

    /**
     * Listens on this address. Blocks, so it must not be called on the event loop.
     *
     * @throws Exception if it can't listen there
     */
    public AdminPort(EventLoop loop, InetSocketAddress address, ControlRegistry registry) throws Exception {
        this.registry = registry;
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    /** Opens an admin port, sends each command once and closes it; loads classes for the class data archive. */
    public static void exercise(EventLoop loop, ControlRegistry registry) throws Exception {
        try (AdminPort port = new AdminPort(loop, new InetSocketAddress("127.0.0.1", 0), registry)) {
            for (String command : COMMANDS.keySet()) {
                try (Socket caller = new Socket()) {
                    caller.connect(port.address());
                    caller.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    caller.getInputStream().readAllBytes();
                }
            }
        }
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    private void accepted(Channel connection) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(connection);
        // Counted from the accept, not from the last byte, so that a client that sends a byte per second is closed,
        // too.
        Future<?> limit =
                connection.eventLoop().schedule(() -> connection.close(), CONNECTION_TIMEOUT_S, TimeUnit.SECONDS);
        connection.closeFuture().addListener(f -> {
            limit.cancel(false);
            connections.remove(connection);
        });
        connection.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true), new CommandHandler());
    }

    @Override
    public void close() {
        server.close();
    }

    private final class CommandHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (answered) {
                return;
            }
            AdminCommand command =
                    COMMANDS.get(line.toString(StandardCharsets.UTF_8).trim());
            answer(ctx, command != null ? command.answer(registry) : unknownCommand());
        }

        private static String unknownCommand() {
            String known = COMMANDS.keySet().stream().sorted().collect(Collectors.joining(", "));
            return "ERR unknown call; there are: " + known + "\n";
        }

        /** Only the first line of a connection is answered. */
        private void answer(ChannelHandlerContext ctx, String text) {
            if (!answered) {
                answered = true;
                ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), text)).addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** The line is too long, or the connection failed. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            answer(ctx, "ERR a line of at most " + MAX_LINE_BYTES + " bytes is read here\n");
        }
    }
}

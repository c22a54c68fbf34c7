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
 * Where operators ask: a line a connection, answered and then closed, on the proxy's event loop. Bounded in callers and
 * in the time that each may take, as some say nothing, or half a call, and stay.
 */
public final class AdminPort implements AutoCloseable {
    /** Callers at a time; one more takes the place of the one that has been there longest. */
    static final int MAX_CALLERS = 32;
    /** The longest call, in bytes. */
    static final int MAX_LINE = 256;

    private static final int STAY_S = 5;

    private static final Map<String, AdminCommand> CALLS =
            List.<AdminCommand>of(new HealthCommand(), new DumpCommand(), new HandoverCommand()).stream()
                    .collect(Collectors.toUnmodifiableMap(AdminCommand::word, Function.identity()));

    private final ControlRegistry registry;
    private final Channel server;
    private final Set<Channel> callers = new LinkedHashSet<>();

    /**
     * Listens at this address; not to be called on the event loop.
     *
     * @throws Exception if it can't listen there
     */
    public AdminPort(EventLoop loop, InetSocketAddress address, ControlRegistry registry) throws Exception {
        this.registry = registry;
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_REUSEADDR, true)
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

    /** Opens a door, asks all that can be asked there, and closes it. */
    public static void practise(EventLoop loop, ControlRegistry registry) throws Exception {
        try (AdminPort door = new AdminPort(loop, new InetSocketAddress("127.0.0.1", 0), registry)) {
            for (String word : CALLS.keySet()) {
                try (Socket caller = new Socket()) {
                    caller.connect(door.address());
                    caller.getOutputStream().write((word + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    caller.getInputStream().readAllBytes();
                }
            }
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    private void accepted(Channel caller) {
        if (callers.size() >= MAX_CALLERS) {
            callers.iterator().next().close();
        }
        callers.add(caller);
        // For the whole call and not since its last byte: one that sends a byte a second stays no longer.
        Future<?> limit = caller.eventLoop().schedule(() -> caller.close(), STAY_S, TimeUnit.SECONDS);
        caller.closeFuture().addListener(f -> {
            limit.cancel(false);
            callers.remove(caller);
        });
        caller.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE, true, true), new Caller());
    }

    @Override
    public void close() {
        server.close();
    }

    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            String word = line.toString(StandardCharsets.UTF_8).trim();
            AdminCommand call = CALLS.get(word);
            say(
                    ctx,
                    call != null
                            ? call.answer(registry)
                            : "ERR unknown call; there are: "
                                    + CALLS.keySet().stream().sorted().collect(Collectors.joining(", ")) + "\n");
        }

        private void say(ChannelHandlerContext ctx, String text) {
            if (!answered) {
                answered = true;
                ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), text)).addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** A line that is too long, or a connection that broke. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            say(ctx, "ERR a line of at most " + MAX_LINE + " bytes is read here\n");
        }
    }
}

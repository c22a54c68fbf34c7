package cacheproxy.emulator;

import cacheproxy.emulator.meta.MetaAnswer;
import cacheproxy.emulator.meta.MetaAnswerDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The emulated front layer, a TCP load balancer: assigns each client connection to the proxy with the fewest
 * connections and relays bytes in both directions. It health-checks each proxy, and reacts with a delay when one dies,
 * drains or serves again; until then it keeps assigning connections as before. Confined to one event loop.
 */
public final class FrontLayer implements AutoCloseable {
    /** In place of a proxy's number: no proxy accepted the connection, as the one it was assigned to was down. */
    public static final int NOBODY = -1;

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long HEALTH_CHECK_INTERVAL_MS = 250;
    /** Health check timeout; a proxy that does not answer within it is regarded as not serving. */
    private static final long HEALTH_CHECK_TIMEOUT_MS = 2000;

    private static final class Target {
        final InetSocketAddress address;
        boolean used = true;
        boolean refusing;
        double changedMs;
        long dealt;
        final Set<Channel> clients = new HashSet<>();

        Target(InetSocketAddress address) {
            this.address = address;
        }
    }

    /** The connections assigned to a proxy in total, those open now, and whether the proxy is in use. */
    public record Share(InetSocketAddress proxy, long dealt, int open, boolean used) {}

    private final EventLoop loop;
    private final double noticeMs;
    private final List<Target> targets = new ArrayList<>();
    private final Listener listener;
    private final InetSocketAddress address;
    private final Future<?> healthChecks;
    private int nextTarget;
    /** The proxy that accepted the last connection from each client port; bounded by the number of ports. */
    private final Map<Integer, Integer> acceptedBy = new ConcurrentHashMap<>();

    /** Listens on a free port; not to be called on the event loop. {@code noticeMs}: the health check delay. */
    public FrontLayer(EventLoop loop, List<InetSocketAddress> proxies, double noticeMs) {
        this.loop = loop;
        this.noticeMs = noticeMs;
        proxies.forEach(p -> targets.add(new Target(p)));
        listener = new Listener(loop, this::accepted);
        address = listener.bind();
        healthChecks = loop.scheduleWithFixedDelay(
                this::checkAll, HEALTH_CHECK_INTERVAL_MS, HEALTH_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The address for clients. */
    public InetSocketAddress address() {
        return address;
    }

    /** The current distribution of connections; on the event loop only. */
    public List<Share> shares() {
        return targets.stream()
                .map(t -> new Share(t.address, t.dealt, t.clients.size(), t.used))
                .toList();
    }

    /**
     * A proxy is about to be killed: resets its client connections, as the death of a process does. On the event loop
     * only.
     */
    public void killed(int proxy) {
        for (Channel c : List.copyOf(targets.get(proxy).clients)) {
            if (c instanceof SocketChannel s) {
                s.config().setSoLinger(0);
            }
            c.close();
        }
    }

    /** The proxy in use with the fewest connections; ties are broken round-robin. */
    private Target pick() {
        Target best = null;
        nextTarget++;
        for (int i = 0; i < targets.size(); i++) {
            Target t = targets.get((nextTarget + i) % targets.size());
            if (t.used && (best == null || t.clients.size() < best.clients.size())) {
                best = t;
            }
        }
        return best != null ? best : targets.get(nextTarget % targets.size());
    }

    /**
     * The number of the proxy that accepted the last connection from this client port, {@link #NOBODY} while none has.
     * May be called from any thread.
     */
    public int takenBy(int clientPort) {
        return acceptedBy.getOrDefault(clientPort, NOBODY);
    }

    private void accepted(Channel client, int socket) {
        Target target = pick();
        int port = ((InetSocketAddress) client.remoteAddress()).getPort();
        acceptedBy.put(port, NOBODY);
        target.dealt++;
        target.clients.add(client);
        client.closeFuture().addListener(f -> target.clients.remove(client));
        client.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        client.config().setAutoRead(false);
        ChannelFuture up = connect(target, new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new Relay(client));
            }
        });
        up.addListener(f -> {
            if (f.isSuccess()) {
                acceptedBy.put(port, targets.indexOf(target));
                client.pipeline().addLast(new Relay(up.channel()));
                client.config().setAutoRead(true);
                up.channel().closeFuture().addListener(g -> client.close());
                client.closeFuture().addListener(g -> up.channel().close());
            } else {
                closeUnserved(client);
            }
        });
    }

    /**
     * Ends a client connection that no proxy accepted. Reads and discards the request first: closing with unread data
     * would send a reset, from which the client must assume that a proxy may have received it.
     */
    private static void closeUnserved(Channel client) {
        client.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ReferenceCountUtil.release(message);
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    ctx.close();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        });
        ((DuplexChannel) client).shutdownOutput();
        client.config().setAutoRead(true);
    }

    private ChannelFuture connect(Target target, ChannelInitializer<Channel> handler) {
        return new Bootstrap()
                .group(loop)
                .channel(Sockets.BEST.client())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(handler)
                .connect(target.address);
    }

    private void recordHealth(Target target, boolean refusing) {
        if (target.refusing != refusing) {
            target.refusing = refusing;
            target.changedMs = System.nanoTime() / 1e6;
        }
    }

    /** Health-checks all proxies; a changed result takes effect once it has been stable for {@link #noticeMs}. */
    private void checkAll() {
        double now = System.nanoTime() / 1e6;
        for (Target t : targets) {
            if (t.used == t.refusing && now - t.changedMs >= noticeMs) {
                t.used = !t.refusing;
            }
            check(t);
        }
    }

    private void check(Target target) {
        connect(target, new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new MetaAnswerDecoder(), new HealthCheck(target));
                    }
                })
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        recordHealth(target, true);
                    }
                });
    }

    /** A health check: sends {@code mn}; any outcome other than {@code MN} means that the proxy is not serving. */
    private final class HealthCheck extends SimpleChannelInboundHandler<MetaAnswer> {
        private final Target target;
        private boolean answered;

        HealthCheck(Target target) {
            this.target = target;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.ISO_8859_1));
            ctx.executor().schedule(() -> ctx.close(), HEALTH_CHECK_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaAnswer answer) {
            answered = true;
            recordHealth(target, !(answer instanceof MetaAnswer.Noop));
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!answered) {
                recordHealth(target, true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        healthChecks.cancel(false);
        loop.execute(() -> {
            listener.refuseNew();
            listener.close();
        });
    }

    /** Relays bytes to the other side with backpressure, and propagates a half-close. */
    private static final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Relay(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            other.write((ByteBuf) message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            other.flush();
            if (!other.isWritable()) {
                ctx.channel().config().setAutoRead(false);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (ctx.channel().isWritable()) {
                other.config().setAutoRead(true);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent && other instanceof DuplexChannel d) {
                d.shutdownOutput();
                if (d.isInputShutdown()) {
                    ctx.close();
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (other instanceof SocketChannel s) {
                s.config().setSoLinger(0); // propagates a reset as a reset
            }
            ctx.close();
        }
    }
}

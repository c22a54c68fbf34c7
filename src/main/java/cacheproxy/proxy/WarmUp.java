package cacheproxy.proxy;

import cacheproxy.proxy.client.ClientConnection;
import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.route.Pool;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Takes requests of its own through the proxy's code before it says that it is ready, so that classes are loaded and
 * hot code is compiled. Guards against the jam of a cold start on part of a core: while the first seconds' requests are
 * interpreted they run out of time, their clients open new connections, and these cost more than the requests did.
 * Local sockets in the private temporary folder, on an event loop of their own, so that nothing is left of them when it
 * ends, also where it fails because the platform has none.
 */
public final class WarmUp {
    private static final EndpointListSource NO_DISCOVERY = new EndpointListSource() {
        @Override
        public void setWatch(boolean on) {}

        @Override
        public void fetchSnapshot() {}
    };

    private static final ClientConnection.Listener NO_LISTENER = new ClientConnection.Listener() {
        @Override
        public void closed(ClientConnection client) {}

        @Override
        public void idleWhileDraining(ClientConnection client) {}
    };

    /** A few times the calls after which the JVM compiles a method; more would hold up a restart. */
    static final int REQUESTS = 400;

    static final String THREAD = "warm-up";
    private static final int DEPTH = 8;
    private static final int LIMIT_MS = 6000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(THREAD, true), Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final Config config;
    private final Path folder;
    private final CountDownLatch done = new CountDownLatch(REQUESTS);
    private int sent;

    private WarmUp(Config config, Path folder) {
        this.config = config;
        this.folder = folder;
    }

    /** Warms up; a failure to do so is only told, as the proxy can do without. */
    public static void run(Config config) {
        try {
            Path folder = Files.createTempDirectory(Path.of(System.getenv().getOrDefault("TMPDIR", "/tmp")), "warm");
            run(config, folder);
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("no warm-up: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Its sockets in that folder; returns how many requests were answered. */
    static int run(Config config, Path folder) throws IOException, InterruptedException {
        WarmUp warmUp = new WarmUp(config, folder);
        try {
            warmUp.run();
        } catch (IOException | RuntimeException e) {
            System.err.println("no warm-up: " + e);
        } finally {
            warmUp.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            for (String name : new String[] {"n", "o", "p"}) {
                Files.deleteIfExists(folder.resolve(name));
            }
        }
        return (int) (REQUESTS - warmUp.done.getCount());
    }

    /** Netty throws what went wrong with a socket as it is, told of or not. */
    private void run() throws IOException, InterruptedException {
        Dispatcher dispatcher = new Dispatcher(loop, new LoopClock(), config, Transport.BEST.localSocket());
        SocketAddress node = listen("n", Node::new);
        SocketAddress origin = listen("o", Origin::new);
        SocketAddress proxy = listen("p", () -> new ClientConnection(dispatcher, NO_LISTENER, false));
        int originKind = config.settings().originKind();
        List<DiscoveredEndpoint> hosts =
                List.of(host(1, originKind == 0 ? 1 : 0, node), host(2, Math.max(0, originKind), origin));
        loop.submit(() -> {
                    dispatcher.start(NO_DISCOVERY, null, null);
                    dispatcher.endpointList().onEndpoints(EndpointUpdateKind.CACHED, hosts);
                })
                .sync();
        new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.localSocket())
                .handler(new HandlerInitializer(new Client()))
                .connect(proxy)
                .sync();
        if (!done.await(LIMIT_MS, TimeUnit.MILLISECONDS)) {
            System.err.println(
                    "a short warm-up: " + done.getCount() + " of " + REQUESTS + " requests without an answer");
        }
        loop.submit(dispatcher::stop).sync();
    }

    private SocketAddress listen(String name, Supplier<ChannelHandler> handler) throws InterruptedException {
        SocketAddress address = Transport.BEST.local(folder.resolve(name));
        new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.localServer())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handler.get());
                    }
                })
                .bind(address)
                .sync();
        return address;
    }

    private static DiscoveredEndpoint host(int id, int kind, SocketAddress dial) {
        return new DiscoveredEndpoint(
                new Endpoint(id, 0, kind, 0, EndpointState.READY, 1, 0), dial, new Pool.Server("", "", "", Set.of()));
    }

    /** One whose connection ends with the warm-up, and be it by a reset. */
    private abstract static class Peer extends ByteToMessageDecoder {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Answers reads; one in four is a miss. */
    private static final class Node extends Peer {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line != null) {
                String id = MetaCodec.flag(line, 3, 'O');
                boolean miss = id.endsWith("0");
                ctx.writeAndFlush(MetaCodec.encode(
                        ctx.alloc(), miss ? "EN O" + id + " h0\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n"));
            }
        }
    }

    private static final class Origin extends Peer {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line != null && line.isEmpty()) {
                ctx.writeAndFlush(MetaCodec.encode(ctx.alloc(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"));
            }
        }
    }

    /** Keeps some requests in hand until enough have been answered. */
    private final class Client extends Peer {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            for (int i = 0; i < DEPTH; i++) {
                send(ctx);
            }
        }

        private void send(ChannelHandlerContext ctx) {
            String id = Integer.toString(++sent, 4);
            ctx.writeAndFlush(MetaCodec.encode(
                    ctx.alloc(),
                    "mg " + Integer.toHexString(0x70000000 + sent * 7919) + " v O" + id + " Pc="
                            + config.settings().classes().get(0).name() + ",d=60000\r\n"));
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line == null || line.startsWith("VA")) {
                return;
            }
            done.countDown();
            if (sent < REQUESTS) {
                send(ctx);
            }
        }
    }
}

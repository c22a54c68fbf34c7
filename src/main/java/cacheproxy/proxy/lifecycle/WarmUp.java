package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.Config;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.LoopClock;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.client.ClientConnection;
import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.transport.HandlerInitializer;
import cacheproxy.proxy.upstream.UpstreamTransport;
import cacheproxy.route.EndpointAttributes;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
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
 * Sends requests through the proxy's code before the instance reports that it is ready, so that classes are loaded and
 * hot code is compiled. Otherwise, with a fraction of a core, the requests of the first seconds would run in the
 * interpreter and time out, and their clients would open new connections, which cost more than the requests. Uses Unix
 * domain sockets in the private temporary folder and a separate event loop; both are cleaned up at the end, even if the
 * warm-up fails.
 */
final class WarmUp {
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

    /** A few times the number of calls after which the JVM compiles a method; more would delay a restart. */
    static final int REQUEST_COUNT = 400;

    static final String THREAD_NAME = "warm-up";
    private static final int PIPELINE_DEPTH = 8;
    private static final int TIMEOUT_MS = 6000;
    /** The stub servers send no duplicates; with a longer period, almost every miss would open a connection. */
    private static final double QUIET_PERIOD_MS = 1;

    /** File names of the sockets of the stub servers and of the proxy, in the warm-up's folder. */
    private static final String NODE_SOCKET = "n";

    private static final String ORIGIN_SOCKET = "o";
    private static final String PROXY_SOCKET = "p";
    private static final int NODE_ID = 1;
    private static final int ORIGIN_ID = 2;
    /** Index of the key in a read command, after {@code mg }; the flags follow the key. */
    private static final int FLAGS_START = 3;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(THREAD_NAME, true), Transport.BEST.io());
    private final EventLoop loop = group.next();
    /** All sockets except the connections to servers, since the end of the event loop does not close them. */
    private final ChannelGroup channels = new DefaultChannelGroup(loop);

    private final Config config;
    private final Path folder;
    private final CountDownLatch unanswered = new CountDownLatch(REQUEST_COUNT);
    private int sentCount;

    private WarmUp(Config config, Path folder) {
        this.config = config;
        this.folder = folder;
    }

    /** Runs the warm-up. A failure is only logged, as the proxy also works without it. */
    static void run(Config config) {
        DescriptorTable.growFor(config.sockets());
        try {
            Path folder = Files.createTempDirectory(Path.of(System.getenv().getOrDefault("TMPDIR", "/tmp")), "warm");
            run(config, folder);
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("warm-up failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the warm-up with sockets in this folder; returns how many requests were answered. */
    static int run(Config config, Path folder) throws IOException, InterruptedException {
        WarmUp warmUp = new WarmUp(config, folder);
        try {
            warmUp.run();
        } catch (IOException | RuntimeException e) {
            System.err.println("warm-up failed: " + e);
        } finally {
            warmUp.channels.close().sync();
            warmUp.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            for (String name : new String[] {NODE_SOCKET, ORIGIN_SOCKET, PROXY_SOCKET}) {
                Files.deleteIfExists(folder.resolve(name));
            }
        }
        return (int) (REQUEST_COUNT - warmUp.unanswered.getCount());
    }

    /** Declares IOException, as Netty throws that of a socket without declaring it. */
    private void run() throws IOException, InterruptedException {
        Dispatcher dispatcher = new Dispatcher(
                loop, new LoopClock(), config, new UpstreamTransport(Transport.BEST.domainSocket(), QUIET_PERIOD_MS));
        SocketAddress node = listen(NODE_SOCKET, Node::new);
        SocketAddress origin = listen(ORIGIN_SOCKET, Origin::new);
        SocketAddress proxy = listen(PROXY_SOCKET, () -> new ClientConnection(dispatcher, NO_LISTENER, false));
        int originKind = config.settings().originKind();
        int nodeKind = originKind == 0 ? 1 : 0;
        List<DiscoveredEndpoint> endpoints =
                List.of(endpoint(NODE_ID, nodeKind, node), endpoint(ORIGIN_ID, Math.max(0, originKind), origin));
        loop.submit(() -> {
                    dispatcher.start(NO_DISCOVERY, null, null);
                    dispatcher.endpointList().onEndpoints(EndpointUpdateKind.CACHED, endpoints);
                })
                .sync();
        ChannelFuture client = new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.domainSocket())
                .handler(new HandlerInitializer(new Client()))
                .connect(proxy)
                .sync();
        channels.add(client.channel());
        if (!unanswered.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            System.err.println(
                    "warm-up timed out: " + unanswered.getCount() + " of " + REQUEST_COUNT + " requests unanswered");
        }
        loop.submit(dispatcher::stop).sync();
    }

    private SocketAddress listen(String name, Supplier<ChannelHandler> handler) throws InterruptedException {
        SocketAddress address = Transport.BEST.domainSocketAddress(folder.resolve(name));
        ChannelFuture listening = new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.domainServer())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        channel.pipeline().addLast(handler.get());
                    }
                })
                .bind(address)
                .sync();
        channels.add(listening.channel());
        return address;
    }

    private static DiscoveredEndpoint endpoint(int id, int kind, SocketAddress address) {
        return new DiscoveredEndpoint(
                new Endpoint(id, 0, kind, 0, EndpointState.READY, 1, 0),
                address,
                new EndpointAttributes("", "", "", Set.of()));
    }

    /** One end of a connection that is closed at the end of the warm-up, possibly by a reset. */
    private abstract static class StandIn extends ByteToMessageDecoder {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Answers reads; one in four is a miss. */
    private static final class Node extends StandIn {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line != null) {
                String id = MetaCodec.flag(line, FLAGS_START, 'O');
                boolean miss = id.endsWith("0");
                ctx.writeAndFlush(MetaCodec.encode(
                        ctx.alloc(), miss ? "EN O" + id + " h0\r\n" : "VA 5 O" + id + " h1\r\nhello\r\n"));
            }
        }
    }

    /** Answers every fetch. */
    private static final class Origin extends StandIn {
        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line != null && line.isEmpty()) {
                ctx.writeAndFlush(MetaCodec.encode(ctx.alloc(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"));
            }
        }
    }

    /** Keeps some requests in flight until enough have been answered. */
    private final class Client extends StandIn {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            for (int i = 0; i < PIPELINE_DEPTH; i++) {
                send(ctx);
            }
        }

        private void send(ChannelHandlerContext ctx) {
            String id = Integer.toString(++sentCount, 4);
            ctx.writeAndFlush(MetaCodec.encode(
                    ctx.alloc(),
                    "mg " + Integer.toHexString(0x70000000 + sentCount * 7919) + " v O" + id + " Pc="
                            + config.settings().classes().get(0).name() + ",d=60000\r\n"));
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            String line = MetaCodec.readLine(in);
            if (line == null || line.startsWith("VA")) {
                return;
            }
            unanswered.countDown();
            if (sentCount < REQUEST_COUNT) {
                send(ctx);
            }
        }
    }
}

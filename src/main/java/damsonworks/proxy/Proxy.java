package damsonworks.proxy;

import damsonworks.RoutingApi.ServiceClass;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One real proxy: its sockets, their bounds and its end. */
public final class Proxy {
    /** Connections still come so long after SIGTERM, with some room for a slow machine. */
    private static final double LISTEN_ON_MS = 500;
    /** Descriptors that the JVM, the listening socket, discovery and peers need. */
    private static final int OWN_DESCRIPTORS = 64;
    private static final int BACKLOG = 512;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final Config config;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final PeerSocket peers;
    private final Set<ClientConnection> clients = new HashSet<>();
    private final int maxClients;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Channel server;
    private double drainEndsMs;
    private double listenEndsMs;

    private Proxy(Config config, boolean warm) throws InterruptedException {
        this.config = config;
        if (warm) {
            WarmUp.run(loop, config);
        }
        dispatcher = new Dispatcher(loop, config, Transport.BEST.socket());
        peers = new PeerSocket(loop, config, dispatcher::heard);
        maxClients = Math.max(16, config.sockets() - config.sockets() / 3 - OWN_DESCRIPTORS);
        discovery = new DiscoveryClient(loop, config, dispatcher);
        loop.submit(() -> {
            dispatcher.start(discovery, peers, this::left);
            discovery.start();
            loop.scheduleWithFixedDelay(this::sweep, 1, 1, TimeUnit.SECONDS);
        }).syncUninterruptibly();
        server = new ServerBootstrap().group(group).channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(64 << 10, 128 << 10))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                }).bind(config.listen()).sync().channel();
    }

    /** Runs a proxy by the configuration that the environment names, until SIGTERM. */
    public static void main() {
        Config config = configuration();
        try {
            Proxy proxy = new Proxy(config, true);
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::drain));
            Hangup.on(proxy::reload);
        } catch (Exception e) {
            System.err.println("can't listen on " + config.listen() + ": " + e.getMessage());
            System.exit(1);
        }
    }

    private static Config configuration() {
        try {
            return Config.read(System.getenv("BALANCER_CONFIG"));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
            throw e;
        }
    }

    /** Starts a proxy and ends it; the process's exit code. */
    public static int train() {
        try {
            new Proxy(configuration(), true).close();
            return 0;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Starts without a warm-up. */
    static Proxy start(Config config) throws InterruptedException {
        return new Proxy(config, false);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    InetSocketAddress peerAddress() {
        return peers.address();
    }

    // ---- clients

    /**
     * A connection that the kernel has accepted counts as taken, so where there are too many the one that has
     * stood idle longest makes room.
     */
    private void accepted(Channel channel) {
        ClientConnection client = new ClientConnection(dispatcher);
        channel.pipeline().addLast(client);
        clients.add(client);
        if (clients.size() > maxClients) {
            ClientConnection oldest = null;
            for (ClientConnection c : clients) {
                if (c != client && c.idle() && (oldest == null || c.activeMs() < oldest.activeMs())) {
                    oldest = c;
                }
            }
            if (oldest != null) {
                oldest.close();
            } else {
                server.config().setAutoRead(false);
            }
        }
    }

    private void left(ClientConnection client) {
        clients.remove(client);
        if (clients.size() <= maxClients && !server.config().isAutoRead()) {
            server.config().setAutoRead(true);
        }
    }

    private void sweep() {
        double now = dispatcher.now();
        for (ClientConnection c : List.copyOf(clients)) {
            if (c.stalled(now)) {
                c.close();
            }
        }
    }

    // ---- a new configuration

    /** Reads the file anew. Only discovery's address may change in service; a file of no use changes nothing. */
    private void reload() {
        try {
            Config read = Config.read(System.getenv("BALANCER_CONFIG"));
            loop.execute(() -> discovery.moveTo(read.discovery()));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
        }
    }

    // ---- the end

    /**
     * Goes on taking connections while they may still come, answers everything, ends each connection between
     * requests and returns when none is left or no answer could be in time any more.
     */
    void drain() {
        double longest = 0;
        for (ServiceClass c : config.settings().classes()) {
            longest = Math.max(longest, c.deadlineMs());
        }
        double wait = longest;
        loop.execute(() -> {
            listenEndsMs = dispatcher.now() + LISTEN_ON_MS;
            drainEndsMs = dispatcher.now() + LISTEN_ON_MS + wait + 150;
            drainOn();
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drainOn() {
        double now = dispatcher.now();
        if (now >= listenEndsMs) {
            dispatcher.drain();
            server.close();
            for (ClientConnection c : new ArrayList<>(clients)) {
                if (c.idle()) {
                    c.finish();
                }
            }
            if (clients.isEmpty() || now >= drainEndsMs) {
                ended.countDown();
                return;
            }
        }
        loop.schedule(this::drainOn, 20, TimeUnit.MILLISECONDS);
    }

    /** Ends at once; for tests. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

package damsonworks.proxy;

import damsonworks.RoutingApi.ServiceClass;
import damsonworks.drain.Drain;
import damsonworks.drain.DrainPlan;
import damsonworks.route.Known;
import damsonworks.route.Router;
import damsonworks.route.Routing;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One real proxy: its sockets, their bounds and its end. */
public final class Proxy {
    /** Connections still come so long after SIGTERM, with some room for a slow machine. */
    private static final double LISTEN_ON_MS = 500;
    /** What an answer may take beyond the longest deadline. */
    private static final double ANSWER_ROOM_MS = 150;
    /** Descriptors that the JVM, the listening socket, discovery and peers need. */
    private static final int OWN_DESCRIPTORS = 64;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private final Config config;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final PeerSocket peers;
    private final Acceptor acceptor;
    private final Drainer drainer;
    private final Edge edge;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Runnable whenEnded = () -> { };

    private Proxy(Config config, Edge edge, boolean warm) throws InterruptedException {
        this.config = config;
        this.edge = edge;
        Routing routing = edge == null ? null : edge.read(config.names());
        if (warm) {
            WarmUp.run(loop, config);
        }
        dispatcher = new Dispatcher(loop, config, Transport.BEST.socket());
        peers = new PeerSocket(loop, config, dispatcher::heard);
        acceptor = new Acceptor(dispatcher,
                Math.max(16, config.sockets() - config.sockets() / 3 - OWN_DESCRIPTORS));
        drainer = new Drainer(loop, dispatcher, acceptor, this::ended);
        discovery = new DiscoveryClient(loop, config, dispatcher);
        loop.submit(() -> {
            dispatcher.start(discovery, peers, acceptor::left, routing);
            discovery.start();
            loop.scheduleWithFixedDelay(acceptor::sweep, 1, 1, TimeUnit.SECONDS);
        }).syncUninterruptibly();
        acceptor.listen(group, config.listen());
    }

    private void ended() {
        ended.countDown();
        whenEnded.run();
    }

    /** Where routes come from; read again at each SIGHUP. */
    public interface Edge {
        /** All of it, checked; an IllegalArgumentException tells people what is wrong. */
        Routing read(Known known);
    }

    /** Runs a proxy by the configuration that the environment names, until SIGTERM or the end of a drain. */
    public static Proxy main() {
        return main(null);
    }

    /** The same with routes; {@code edge} null: without. */
    public static Proxy main(Edge edge) {
        Config config = configuration();
        try {
            Proxy proxy = new Proxy(config, edge, true);
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::drain));
            Hangup.on(proxy::reload);
            // Not on the event loop, which the process's end waits for.
            proxy.whenEnded = () -> new Thread(() -> System.exit(0), "drained").start();
            return proxy;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
            throw e;
        } catch (Exception e) {
            System.err.println("can't listen on " + config.listen() + ": " + e.getMessage());
            System.exit(1);
            throw new IllegalStateException(e);
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
            new Proxy(configuration(), null, true).close();
            return 0;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Starts without a warm-up. */
    static Proxy start(Config config) throws InterruptedException {
        return new Proxy(config, null, false);
    }

    /** Starts without a warm-up, with routes. */
    static Proxy start(Config config, Edge edge) throws InterruptedException {
        return new Proxy(config, edge, false);
    }

    InetSocketAddress address() {
        return acceptor.address();
    }

    InetSocketAddress peerAddress() {
        return peers.address();
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
        reroute();
    }

    /** Reads the routes anew. All of them are taken or, if anything is wrong with them, none. */
    void reroute() {
        if (edge == null) {
            return;
        }
        try {
            Routing routing = edge.read(config.names());
            loop.execute(() -> dispatcher.route(routing));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
        }
    }

    /** The routes with what they have done, or null where there are none. On the event loop only. */
    public Router router() {
        return dispatcher.router();
    }

    // ---- the end

    /**
     * What SIGTERM begins: goes on taking connections while they may still come, answers everything, ends each
     * connection between requests, and returns when none is left or no answer could be in time any more.
     */
    void drain() {
        double longest = 0;
        for (ServiceClass c : config.settings().classes()) {
            longest = Math.max(longest, c.deadlineMs());
        }
        DrainPlan plan = DrainPlan.terminated(LISTEN_ON_MS, longest + ANSWER_ROOM_MS);
        loop.execute(() -> drainer.begin(plan));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins a drain that can be watched and taken back, or joins one. On the event loop only. */
    public Drain.Begun drain(double deadlineMs) {
        return drainer.begin(DrainPlan.asked(deadlineMs));
    }

    /** Takes a drain back; null if that was done, else why it can't be. On the event loop only. */
    public String cancelDrain() {
        return drainer.cancel();
    }

    /** How a drain goes. On the event loop only. */
    public Drain.Progress drainProgress() {
        return drainer.progress();
    }

    /** The proxy's name in its configuration. */
    public String name() {
        return config.name();
    }

    /** The one event loop that everything runs on. */
    public EventLoop loop() {
        return loop;
    }

    /** What is open now. On the event loop only. */
    public Status status() {
        return new Status(acceptor.open(), dispatcher.owed(), dispatcher.answered(), dispatcher.upstreamConnections());
    }

    /**
     * What is open.
     *
     * @param clients  their connections
     * @param owed     requests without a final answer
     * @param answered requests answered since the start
     * @param upstream connections to nodes and origin
     */
    public record Status(int clients, int owed, long answered, int upstream) { }

    /** Ends at once; for tests. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

package damsonworks.proxy;

import com.google.gson.JsonObject;
import damsonworks.RoutingApi.Experience;
import damsonworks.RoutingApi.Settings;
import damsonworks.drain.Drain;
import damsonworks.drain.DrainPlan;
import damsonworks.flow.ByteBudget;
import damsonworks.member.Phase;
import damsonworks.member.View;
import damsonworks.peer.ListNews;
import damsonworks.proxy.discovery.Addresses;
import damsonworks.proxy.discovery.DiscoveryClient;
import damsonworks.route.Known;
import damsonworks.route.Router;
import damsonworks.route.Routing;
import damsonworks.takeover.Handover;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.unix.FileDescriptor;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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
    /** Written by the thread of a signal, and read by others too. */
    private volatile Config config;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final PeerSocket peers;
    private final Acceptor acceptor;
    private final Drainer drainer;
    private final Edge edge;
    private final Handover handover = new Handover();
    private final HandoverLink link;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Runnable whenEnded = () -> { };
    /** Null where this proxy takes no part in the fleet's view. On the event loop only. */
    private MemberLink members;
    /** Null where it decides nothing of zones. On the event loop only. */
    private ZoneLink zones;

    private Proxy(Config config, Edge edge, boolean warm, Path shared) throws InterruptedException, IOException {
        this.config = config;
        this.edge = edge;
        Routing routing = edge == null ? null : edge.read(config.names());
        if (warm) {
            WarmUp.run(config);
        }
        dispatcher = new Dispatcher(loop, config, Transport.BEST.socket());
        peers = new PeerSocket(loop, config, dispatcher::heard, dispatcher.counters());
        acceptor = new Acceptor(dispatcher,
                Math.max(16, config.sockets() - config.sockets() / 3 - OWN_DESCRIPTORS));
        discovery = new DiscoveryClient(loop, new Bootstrap().group(loop).channel(Transport.BEST.socket())
                .option(ChannelOption.TCP_NODELAY, true), config.discoverySettings(), dispatcher);
        link = new HandoverLink(loop, shared, handover, acceptor, this::state);
        acceptor.retireBy(c -> {
            if (handover.passes()) {
                c.pass(link);
            } else {
                c.finish();
            }
        });
        drainer = new Drainer(loop, dispatcher, acceptor, this::ended);
        TakeoverLink old = TakeoverLink.ask(loop, shared); // as late as can be: what it tells is of now
        TakeoverState state = old == null ? null : old.state();
        loop.submit(() -> {
            dispatcher.start(discovery, peers, acceptor, routing);
            discovery.start(newer(state, config.known()));
            if (config.settings().peers()) {
                Settings settings = config.settings();
                ListNews news = new ListNews(settings.instances(), settings.ownSeed(config.seed()));
                news.begin(discovery.version());
                dispatcher.news(new PeerNews(dispatcher, peers, discovery, news));
            }
            if (state != null) {
                dispatcher.resume(state.learnt());
            }
            loop.scheduleWithFixedDelay(acceptor::sweep, 1, 1, TimeUnit.SECONDS);
        }).syncUninterruptibly();
        FileDescriptor socket = old == null ? null : old.socket();
        if (socket != null) {
            acceptor.listen(group, socket);
            old.serving(client -> acceptor.adopt(loop, client));
            loop.execute(() -> dispatcher.log(old.told()));
        } else {
            acceptor.listen(group, config.listen());
        }
        if (shared != null) {
            link.open();
        }
    }

    /** What a successor must know: what this process was told of the servers binds both. */
    private TakeoverState state() {
        return new TakeoverState(discovery.list(), dispatcher.experience());
    }

    /** What is passed over of what has been learnt; for tests, on the event loop only. */
    Map<String, Experience> knows() {
        return dispatcher.experience();
    }

    private static JsonObject newer(TakeoverState state, JsonObject known) {
        if (state == null) {
            return known;
        }
        JsonObject list = state.list();
        return known != null && known.get("seq").getAsLong() > list.get("seq").getAsLong() ? known : list;
    }

    private void ended() {
        if (handover.passes()) {
            dispatcher.log("passed " + link.passed() + " clients on");
        }
        link.close();
        if (members != null && !handover.passes()) {
            members.leave(); // a successor goes on under this name
        }
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
            Proxy proxy = new Proxy(config, edge, true, HandoverLink.folder());
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::drain));
            Hangup.on(() -> proxy.reload(System.getenv("BALANCER_CONFIG")));
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

    /** Starts a proxy, has it used and ends it; the process's exit code. */
    public static int train(Consumer<Proxy> use) {
        try {
            Proxy proxy = new Proxy(configuration(), null, true, null);
            use.accept(proxy);
            proxy.close();
            return 0;
        } catch (InterruptedException | IOException e) {
            return 1;
        }
    }

    /** Starts without a warm-up. */
    static Proxy start(Config config) throws InterruptedException, IOException {
        return new Proxy(config, null, false, null);
    }

    /** Starts without a warm-up, with routes. */
    static Proxy start(Config config, Edge edge) throws InterruptedException, IOException {
        return new Proxy(config, edge, false, null);
    }

    /** Starts without a warm-up, as the successor of whoever serves by this folder. */
    static Proxy start(Config config, Path shared) throws InterruptedException, IOException {
        return new Proxy(config, null, false, shared);
    }

    InetSocketAddress address() {
        return acceptor.address();
    }

    InetSocketAddress peerAddress() {
        return peers.address();
    }

    /** For tests, on the event loop only. */
    Dispatcher core() {
        return dispatcher;
    }

    ByteBudget values() {
        return dispatcher.values();
    }

    // ---- the view of the fleet

    /**
     * Takes part in the view that the fleet keeps of itself, where the settings allow peers to talk. {@code leaves}: and in
     * what it decides of zones.
     */
    public void keepView(boolean leaves) {
        loop.execute(() -> {
            if (config.settings().peers()) {
                members = new MemberLink(dispatcher, peers, config.settings(), config.seed(), dispatcher::among);
                dispatcher.members(members, new NodeTalk(dispatcher, peers, members));
                if (leaves) {
                    zones = new ZoneLink(dispatcher, members, config.settings(), config.zones());
                    dispatcher.zones(zones);
                }
            }
        });
    }

    /** What the fleet has decided of zones; null if this proxy takes no part in that. On the event loop only. */
    public FleetZones zones() {
        return zones == null ? null : new FleetZones(zones);
    }

    /** What is seen of the fleet; null if this proxy takes no part in that. On the event loop only. */
    public FleetView fleetView() {
        return members == null ? null : new FleetView(members.view(), members.unreadable(), members.deathsRefuted(),
                peers.outbox().dropped());
    }

    /**
     * The view with what was counted.
     *
     * @param unreadable messages that could not be read
     * @param refuted    how often this proxy refuted that it was dead
     * @param dropped    datagrams that found no room in the budget
     */
    public record FleetView(View view, long unreadable, long refuted, long dropped) { }

    // ---- a new configuration

    /**
     * Reads the file anew, and the routes. All of it is taken or, if anything is wrong with it, nothing. One at a time:
     * each signal has a thread of its own, and what was read last must be what holds.
     */
    synchronized void reload(String path) {
        try {
            Config next = config.again(path);
            Routing routing = edge == null ? null : edge.read(next.names());
            config = next;
            loop.execute(() -> {
                dispatcher.settle(next);
                discovery.settle(next.discoverySettings());
                if (routing != null) {
                    dispatcher.route(routing);
                }
                dispatcher.counters().reloaded(true);
            });
        } catch (IllegalArgumentException e) {
            loop.execute(() -> {
                dispatcher.log("the settings stay as they are: " + e.getMessage());
                dispatcher.counters().reloaded(false);
            });
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
        loop.execute(() -> {
            handover.terminated();
            draining();
            double longest = dispatcher.longestDeadlineMs() + ANSWER_ROOM_MS;
            drainer.begin(handover.passes() ? DrainPlan.succeeded(longest)
                    : DrainPlan.terminated(LISTEN_ON_MS, longest));
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins a drain that can be watched and taken back, or joins one. On the event loop only. */
    public Drain.Begun drain(double deadlineMs) {
        draining();
        return drainer.begin(DrainPlan.asked(deadlineMs));
    }

    /** Takes a drain back; null if that was done, else why it can't be. On the event loop only. */
    public String cancelDrain() {
        String why = drainer.cancel();
        if (why == null && members != null) {
            members.phase(Phase.SERVING);
        }
        return why;
    }

    private void draining() {
        if (members != null && !handover.passes()) {
            members.phase(Phase.DRAINING);
        }
    }

    /** Writes a line of figures to the log each time so much has passed, at least a second. */
    public void logFigures(long everyMs) {
        workLog(System.err).every(loop, Math.max(1000, everyMs));
    }

    WorkLog workLog(PrintStream out) {
        return new WorkLog(config.name(), dispatcher, out);
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

    /** Where operators ask, or null where nobody is to. */
    public InetSocketAddress operator() {
        String told = System.getenv("BALANCER_OPERATOR");
        return config.operator() != null || told == null || told.isEmpty() ? config.operator() : Addresses.parse(told);
    }

    /** What is open now, and what has come of what was. On the event loop only. */
    public Status status() {
        Counters c = dispatcher.counters();
        Map<String, Endings> classes = new LinkedHashMap<>();
        c.classes().forEach((name, t) -> classes.put(name, new Endings(t.succeeded(), t.declined(), t.aborted())));
        return new Status(acceptor.open(), dispatcher.owed(), dispatcher.answered(), dispatcher.servers().connections(),
                classes, c.forwards(), dispatcher.servers().discovered(), dispatcher.servers().ejected(), c.applied(), c.rejected(),
                handover.phase(), handover.taken(), dispatcher.values().used(), dispatcher.values().waiting());
    }

    /**
     * How requests of one class have ended since the start.
     *
     * @param succeeded answered with what a server made for them
     * @param declined  refused
     * @param aborted   failed
     */
    public record Endings(long succeeded, long declined, long aborted) { }

    /**
     * What is open, and what has come of what was.
     *
     * @param clients    their connections
     * @param owed       requests without a final answer
     * @param answered   requests answered since the start
     * @param upstream   connections to nodes and origin
     * @param classes    how requests have ended, by their classes' names
     * @param forwards   attempts written whole to cache nodes or the origin
     * @param discovered cache nodes in the list
     * @param ejected    those of them that get no ordinary request now and got nothing for a second
     * @param applied    files taken at SIGHUP
     * @param rejected   files turned down at SIGHUP
     * @param handover   how far a successor has come
     * @param handovers  how often one has come to serve
     * @param kept       bytes of values that are kept whole
     * @param waiting    clients whose values wait for room
     */
    public record Status(int clients, int owed, long answered, int upstream, Map<String, Endings> classes,
            long forwards, int discovered, int ejected, long applied, long rejected, Handover.Phase handover,
            int handovers, long kept, int waiting) { }

    /** Ends at once; for tests. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

package cacheproxy.proxy;

import cacheproxy.drain.DrainPlan;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.failover.Zones.Held;
import cacheproxy.flow.ByteBudget;
import cacheproxy.gossip.ListVersionGossip;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.ServicePhase;
import cacheproxy.proxy.discovery.Addresses;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.recovery.Provenance;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.route.Known;
import cacheproxy.route.Router;
import cacheproxy.route.Routing;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import cacheproxy.takeover.HandoverStateMachine;
import com.google.gson.JsonPrimitive;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.unix.FileDescriptor;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** One real proxy: its sockets, their bounds and its end. */
public final class Proxy {
    /** Connections still come so long after SIGTERM, with some room for a slow machine. */
    private static final double LISTEN_ON_MS = 500;
    /** What an answer may take beyond the longest deadline. */
    private static final double ANSWER_ROOM_MS = 150;

    private static final int NO_KIND = -1;
    /** Descriptors that the JVM, the listening socket, discovery and peers need. */
    private static final int OWN_DESCRIPTORS = 64;
    /** Some rounds of the view, ticks of zones and recovery, and writes. */
    private static final long TRAIN_MS = 700;

    private final LoopClock loopClock = new LoopClock();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, loopClock.wrap(Transport.BEST.io()));
    private final EventLoop loop = group.next();
    /** Written by the thread of a signal, and read by others too. */
    private volatile Config config;

    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final PeerSocket peers;
    private final Acceptor acceptor;
    private final Drainer drainer;
    private final Edge edge;
    private final HandoverStateMachine handover = new HandoverStateMachine();
    private final HandoverLink link;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Runnable whenEnded = () -> {};
    /** Null where this proxy takes no part in the fleet's view. On the event loop only. */
    private MembershipLink members;
    /** Null where it decides nothing of zones. On the event loop only. */
    private ZoneLink zones;
    /** Null where it does not look at how it comes back. On the event loop only. */
    private RecoveryLink recovery;
    /** Null where nothing is kept. */
    private final StatePersistence kept;
    /** What is known from before the start. */
    private final Remembered remembered;

    private final boolean succeeds;

    private Proxy(Config config, Edge edge, boolean warm, Path shared, Kept folder)
            throws InterruptedException, IOException {
        this.config = config;
        this.edge = edge;
        kept = folder == null ? null : new StatePersistence(folder.folder(), config.name(), folder.fleet());
        Routing routing = edge == null ? null : edge.read(config.names());
        if (warm) {
            WarmUp.run(config);
        }
        dispatcher = new Dispatcher(loop, loopClock, config, Transport.BEST.socket());
        peers = new PeerSocket(loop, config, dispatcher.peerLinks()::messageReceived, dispatcher.counters());
        acceptor = new Acceptor(dispatcher, Math.max(16, config.sockets() - config.sockets() / 3 - OWN_DESCRIPTORS));
        RoutingSettings atStart = config.settings();
        EndpointListPublisher list = new EndpointListPublisher(
                dispatcher.endpointList(),
                new ProvisionalEndpoints(atStart.cacheAside() ? atStart.originKind() : NO_KIND),
                dispatcher::now);
        discovery = new DiscoveryClient(
                loop,
                new Bootstrap().group(loop).channel(Transport.BEST.socket()).option(ChannelOption.TCP_NODELAY, true),
                config.discoverySettings(),
                list,
                dispatcher::now);
        link = new HandoverLink(loop, shared, handover, acceptor, this::state);
        acceptor.retireBy(c -> {
            if (!handover.passesClients()) {
                c.finish();
            } else if (c.served()) {
                c.pass(link);
            } // else its first command is waited for here: another process does not know since when
        });
        drainer = new Drainer(loop, dispatcher, acceptor, this::ended);
        TakeoverLink old = TakeoverLink.ask(loop, shared); // as late as can be: what it tells is of now
        TakeoverState state = old == null ? null : old.state();
        succeeds = state != null;
        remembered = new Remembered(
                state,
                kept == null ? OpenedState.EMPTY : kept.openedState(),
                dispatcher.provenance(),
                dispatcher.now());
        loop.submit(() -> {
                    dispatcher.start(discovery, peers, acceptor, routing);
                    discovery.start(remembered.list(config.known()));
                    if (config.settings().peerMessagesAllowed()) {
                        RoutingSettings settings = config.settings();
                        ListVersionGossip news =
                                new ListVersionGossip(settings.instanceCount(), settings.instanceSeed(config.seed()));
                        news.start(discovery.version());
                        dispatcher
                                .peerLinks()
                                .setEndpointListGossip(new PeerNews(
                                        dispatcher,
                                        peers,
                                        discovery,
                                        list,
                                        news,
                                        settings.instanceSeed(config.seed() + 1)));
                    }
                    dispatcher.resume(remembered.learnt());
                    if (kept != null) {
                        kept.start(dispatcher, discovery);
                    }
                    loop.scheduleWithFixedDelay(acceptor::sweep, 1, 1, TimeUnit.SECONDS);
                })
                .syncUninterruptibly();
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
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        if (members != null) {
            records.put(
                    RecordKind.INCARNATION,
                    new StoredRecord(
                            RecordKind.INCARNATION, dispatcher.now(), new JsonPrimitive(members.incarnation())));
        }
        if (zones != null) {
            Map<Integer, Held> held = zones.zones().held();
            records.put(
                    RecordKind.ZONE_STATES,
                    new StoredRecord(
                            RecordKind.ZONE_STATES, dispatcher.now(), ZoneForm.json(held, false, zones.names())));
            records.put(
                    RecordKind.OPERATOR_ORDERS,
                    new StoredRecord(
                            RecordKind.OPERATOR_ORDERS, dispatcher.now(), ZoneForm.json(held, true, zones.names())));
        }
        return new TakeoverState(discovery.snapshot(), dispatcher.learnedState(), records);
    }

    /** What is passed over of what has been learnt; for tests, on the event loop only. */
    Map<String, LearnedState> knows() {
        return dispatcher.learnedState();
    }

    private void ended() {
        if (handover.passesClients()) {
            dispatcher.log("passed " + link.passed() + " clients on");
        }
        link.close();
        if (members != null && !handover.passesClients()) {
            members.leave(); // a successor goes on under this name
        }
        if (kept != null) {
            kept.close();
        }
        ended.countDown();
        whenEnded.run();
    }

    /** Where routes come from; read again at each SIGHUP. */
    public interface Edge {
        /** All of it, checked; an IllegalArgumentException tells people what is wrong. */
        Routing read(Known known);
    }

    /**
     * Where an instance keeps what outlasts its process.
     *
     * @param folder of its own; no other instance's
     * @param fleet the name of its fleet: another's folder is of no use to it
     */
    public record Kept(Path folder, String fleet) {}

    /**
     * Runs a proxy by the configuration that the environment names, until SIGTERM or the end of a drain.
     *
     * @param edge its routes; null: none
     * @param folder where it keeps what outlasts it; null: nowhere
     * @param sighup has it take new settings
     */
    public static Proxy main(Edge edge, Kept folder, SighupHandler sighup) {
        Config config = configuration();
        try {
            Proxy proxy = new Proxy(config, edge, true, HandoverLink.folder(), folder);
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::drain));
            String file = System.getenv("BALANCER_CONFIG");
            sighup.on(() -> proxy.reload(file));
            if (!sighup.arrives()) {
                System.err.println("SIGHUP is ignored where this was started (nohup?): " + file
                        + " is looked at twice a second in its place");
                new FileWatch(Path.of(file), () -> proxy.reload(file)).start();
            }
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

    /**
     * Starts a proxy with all that it may run with, has it used and ends it; the process's exit code. What a proxy
     * loads that comes back with many others is in the archive then, as they share the machine.
     */
    public static int train(Consumer<Proxy> use) {
        try {
            Path folder = Files.createTempDirectory("train");
            Proxy proxy = new Proxy(configuration(), null, true, null, new Kept(folder, "train"));
            proxy.join(new Together(true, true, true));
            use.accept(proxy);
            TimeUnit.MILLISECONDS.sleep(TRAIN_MS);
            proxy.close();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
            return 0;
        } catch (InterruptedException | IOException e) {
            return 1;
        }
    }

    /** Starts without a warm-up. */
    static Proxy start(Config config) throws InterruptedException, IOException {
        return new Proxy(config, null, false, null, null);
    }

    /** Starts without a warm-up, with routes. */
    static Proxy start(Config config, Edge edge) throws InterruptedException, IOException {
        return new Proxy(config, edge, false, null, null);
    }

    /** Starts without a warm-up, as the successor of whoever serves by this folder. */
    static Proxy start(Config config, Path shared) throws InterruptedException, IOException {
        return new Proxy(config, null, false, shared, null);
    }

    /**
     * Starts without a warm-up, with what its folder holds, as the successor of whoever serves by {@code shared}, if
     * anybody.
     */
    static Proxy start(Config config, Path shared, Kept folder) throws InterruptedException, IOException {
        return new Proxy(config, null, false, shared, folder);
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

    /** For tests, on the event loop only. */
    Acceptor clients() {
        return acceptor;
    }

    ByteBudget values() {
        return dispatcher.bufferLimits().values();
    }

    // ---- the view of the fleet

    /**
     * What a proxy does with the others of its fleet, where the settings allow peers to talk.
     *
     * @param view takes part in the view that the fleet keeps of itself; implied by the others
     * @param zones takes part in what the fleet decides of zones
     * @param recovers comes back with the others in mind
     */
    public record Together(boolean view, boolean zones, boolean recovers) {}

    /** Begins to do so. */
    public void join(Together parts) {
        loop.execute(() -> {
            boolean peersTalk = config.settings().peerMessagesAllowed();
            if (peersTalk && (parts.view() || parts.zones() || parts.recovers())) {
                members = new MembershipLink(
                        dispatcher,
                        peers,
                        config.settings(),
                        remembered.incarnation(),
                        config.seed(),
                        parts.recovers() ? ServicePhase.STARTING : ServicePhase.SERVING,
                        dispatcher.peerLinks()::liveMembersChanged);
                dispatcher.peerLinks().setMembership(members, new NodeTalk(dispatcher, peers, members));
                if (parts.zones()) {
                    zones = new ZoneLink(dispatcher, members, config.settings(), config.zones(), remembered);
                    dispatcher.peerLinks().setZoneFailover(zones);
                }
                if (kept != null) {
                    kept.persistFleetState(members::incarnation, zones);
                    members.onChange(kept::fleetStateChanged);
                }
            }
            if (parts.recovers() && members != null) {
                dispatcher
                        .peerLinks()
                        .setStateQueries(new StateQueryLink(
                                dispatcher,
                                peers,
                                members,
                                discovery,
                                dispatcher
                                                .provenance()
                                                .entry(ProvenanceTracker.Subject.LEARNED_STATE)
                                                .provenance()
                                        == Provenance.NONE));
            }
            if (parts.recovers()) {
                recovery = new RecoveryLink(
                        dispatcher, members, acceptor, succeeds, () -> discovery.start(config.known()));
            }
        });
    }

    /** How this process comes back, and what it keeps. On the event loop only. */
    public RecoveryStatus recovering() {
        return new RecoveryStatus(
                dispatcher.provenance(),
                recovery == null ? null : recovery.progress(),
                recovery == null ? null : recovery.rebalancer(),
                recovery == null ? 0 : recovery.requestsPerSecond(),
                kept == null ? null : kept.openedState(),
                kept == null ? null : kept.recordStore(),
                kept == null ? null : kept.path().toString(),
                kept != null && kept.isLockHeld());
    }

    /** What the fleet has decided of zones; null if this proxy takes no part in that. On the event loop only. */
    public FleetZones zones() {
        return zones == null ? null : new FleetZones(zones);
    }

    /** What is seen of the fleet; null if this proxy takes no part in that. On the event loop only. */
    public FleetView fleetView() {
        return members == null
                ? null
                : new FleetView(
                        members.view(),
                        members.unreadable(),
                        members.deathsRefuted(),
                        peers.outbox().droppedDatagrams());
    }

    /**
     * The view with what was counted.
     *
     * @param unreadable messages that could not be read
     * @param refuted how often this proxy refuted that it was dead
     * @param dropped datagrams that found no room in the budget
     */
    public record FleetView(MembershipView view, long unreadable, long refuted, long dropped) {}

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
                dispatcher.applySettings(next);
                discovery.updateSettings(next.discoverySettings());
                if (routing != null) {
                    dispatcher.replaceRoutes(routing);
                }
                dispatcher.counters().recordReload(true);
            });
        } catch (IllegalArgumentException e) {
            loop.execute(() -> {
                dispatcher.log("the settings stay as they are: " + e.getMessage());
                dispatcher.counters().recordReload(false);
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
            handover.terminationRequested();
            draining();
            double longest = dispatcher.longestDeadlineMs() + ANSWER_ROOM_MS;
            drainer.begin(
                    handover.passesClients()
                            ? DrainPlan.onTerminationWithSuccessor(longest)
                            : DrainPlan.onTermination(LISTEN_ON_MS, longest));
        });
        try {
            ended.await();
            if (kept != null) {
                kept.awaitClosed();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins a drain that can be watched and taken back, or joins one. On the event loop only. */
    public DrainStateMachine.StartResult drain(double deadlineMs) {
        draining();
        return drainer.begin(DrainPlan.requested(deadlineMs));
    }

    /** Takes a drain back; null if that was done, else why it can't be. On the event loop only. */
    public String cancelDrain() {
        String why = drainer.cancel();
        if (why == null && members != null && recovery == null) {
            members.phase(ServicePhase.SERVING); // else its own stage is told anyway
        }
        return why;
    }

    private void draining() {
        if (members != null && !handover.passesClients()) {
            members.phase(ServicePhase.DRAINING);
        }
    }

    /** Writes a line of figures to the log each time so much has passed, at least a second. */
    public void logFigures(long everyMs) {
        metricsLog(System.err).start(loop, Math.max(1000, everyMs));
    }

    MetricsLog metricsLog(PrintStream out) {
        return new MetricsLog(config.name(), dispatcher, out);
    }

    /** How a drain goes. On the event loop only. */
    public DrainStateMachine.Progress drainProgress() {
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
        c.classes().forEach((name, t) -> classes.put(name, new Endings(t.succeeded(), t.rejected(), t.failed())));
        return new Status(
                acceptor.open(),
                dispatcher.openRequests(),
                dispatcher.completedRequests(),
                dispatcher.servers().connections(),
                classes,
                c.forwards(),
                dispatcher.servers().discovered(),
                dispatcher.servers().ejected(),
                c.reloadsApplied(),
                c.reloadsRejected(),
                handover.phase(),
                handover.completedHandovers(),
                dispatcher.bufferLimits().values().reserved(),
                dispatcher.bufferLimits().values().waiting());
    }

    /** What was seen of the rules so far. On the event loop only. */
    public RuleCounts ruleCounts() {
        return dispatcher.rules().counts();
    }

    /**
     * The list of servers as this proxy holds it.
     *
     * @param version of discovery's list
     * @param ageMs since discovery last answered, with or without news; NaN: not yet
     */
    public record ListStatus(long version, double ageMs) {}

    /** How fresh the list is. On the event loop only. */
    public ListStatus list() {
        return new ListStatus(discovery.version(), dispatcher.now() - discovery.lastResponseMs());
    }

    /**
     * How requests of one class have ended since the start.
     *
     * @param succeeded answered with what a server made for them
     * @param declined refused
     * @param aborted failed
     */
    public record Endings(long succeeded, long declined, long aborted) {}

    /**
     * What is open, and what has come of what was.
     *
     * @param clients their connections
     * @param owed requests without a final answer
     * @param answered requests answered since the start
     * @param upstream connections to nodes and origin
     * @param classes how requests have ended, by their classes' names
     * @param forwards attempts written whole to cache nodes or the origin
     * @param discovered cache nodes in the list
     * @param ejected those of them that get no ordinary request now and got nothing for a second
     * @param applied files taken at SIGHUP
     * @param rejected files turned down at SIGHUP
     * @param handover how far a successor has come
     * @param handovers how often one has come to serve
     * @param kept bytes of values that are kept whole
     * @param waiting clients whose values wait for room
     */
    public record Status(
            int clients,
            int owed,
            long answered,
            int upstream,
            Map<String, Endings> classes,
            long forwards,
            int discovered,
            int ejected,
            long applied,
            long rejected,
            HandoverStateMachine.Phase handover,
            int handovers,
            long kept,
            int waiting) {}

    /** Ends at once; for tests. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

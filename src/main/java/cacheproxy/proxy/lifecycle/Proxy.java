package cacheproxy.proxy.lifecycle;

import cacheproxy.drain.DrainStateMachine;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.RequestTrace;
import cacheproxy.proxy.Config;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.LoopClock;
import cacheproxy.proxy.MetricsLog;
import cacheproxy.proxy.RuleCounts;
import cacheproxy.proxy.StatePersistence;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.ZoneOperations;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.proxy.client.ClientConnection;
import cacheproxy.proxy.discovery.Addresses;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.proxy.upstream.UpstreamTransport;
import cacheproxy.route.Router;
import cacheproxy.route.Routing;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.state.OpenedState;
import cacheproxy.takeover.HandoverStateMachine;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.unix.FileDescriptor;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * One proxy instance: builds its subsystems, starts them in order and provides the status and commands for operators.
 * Everything runs on one event loop; methods that may be called on another thread say so.
 */
public final class Proxy {
    private static final int NO_ENDPOINT_KIND = -1;
    /** File descriptors for the JVM, the listening socket, discovery and peers. */
    private static final int RESERVED_DESCRIPTORS = 64;

    private static final int MIN_CLIENTS = 16;
    private static final long SWEEP_INTERVAL_S = 1;

    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_WRONG_CONFIGURATION = 2;

    private final LoopClock loopClock = new LoopClock();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, loopClock.wrap(Transport.BEST.io()));
    private final EventLoop loop = group.next();

    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final PeerDatagramSocket peers;
    private final ClientAcceptor acceptor;
    private final HandoverStateMachine handover = new HandoverStateMachine();
    private final HandoverServer handoverServer;
    private final ConfigReloader reloader;
    private final FleetParticipation fleet;
    private final GracefulShutdown shutdown;
    private final RestoredState restored;
    /** Null where nothing is stored. */
    private final StatePersistence statePersistence;

    // ---- start

    /**
     * Builds and starts an instance.
     *
     * @param routes supplies its routes; null for none
     * @param takeoverFolder the folder through which it takes over from another process and hands over; null for none
     * @param storage where it stores the state that outlasts the process; null for nowhere
     */
    Proxy(Config config, RouteSource routes, boolean warmUp, Path takeoverFolder, StateLocation storage)
            throws InterruptedException, IOException {
        statePersistence =
                storage == null ? null : new StatePersistence(storage.folder(), config.name(), storage.fleetName());
        Routing routing = routes == null ? null : routes.read(config.routableNames());
        if (warmUp) {
            WarmUp.run(config);
        }
        dispatcher = new Dispatcher(loop, loopClock, config, UpstreamTransport.withDuplicates(Transport.BEST.socket()));
        peers = new PeerDatagramSocket(
                loop,
                Transport.BEST.datagram(),
                config.peerAddresses(),
                dispatcher.peerLinks()::messageReceived,
                dispatcher.counters()::increment);
        acceptor = new ClientAcceptor(dispatcher, maxClients(config));
        EndpointListPublisher list = provisionalList(config);
        discovery = discoveryClient(config, list);
        reloader = new ConfigReloader(config, routes, loop, dispatcher, discovery);
        handoverServer =
                new HandoverServer(loop, takeoverFolder, handover, acceptor, this::takeoverSnapshot, dispatcher);
        acceptor.setIdleCloser(this::retire, client -> handover.passesClients() || client.isDelivered());
        // As late as possible, so that the snapshot shows the predecessor's latest state.
        TakeoverClient predecessor = TakeoverClient.connect(loop, takeoverFolder, dispatcher);
        TakeoverSnapshot snapshot = predecessor == null ? null : predecessor.snapshot();
        restored = restoredState(snapshot);
        fleet = new FleetParticipation(
                dispatcher, peers, discovery, acceptor, statePersistence, restored, snapshot != null, reloader::config);
        shutdown = new GracefulShutdown(loop, dispatcher, acceptor, handover, handoverServer, fleet, statePersistence);
        loop.submit(() -> startSubsystems(list, routing)).syncUninterruptibly();
        listen(predecessor);
        if (takeoverFolder != null) {
            handoverServer.open();
        }
    }

    /** The descriptors that are left after the reserve and the connections to servers, which get a third of all. */
    private static int maxClients(Config config) {
        return Math.max(MIN_CLIENTS, config.sockets() - config.upstreamSockets() - RESERVED_DESCRIPTORS);
    }

    private EndpointListPublisher provisionalList(Config config) {
        RoutingSettings settings = config.settings();
        int originKind = settings.cacheAside() ? settings.originKind() : NO_ENDPOINT_KIND;
        return new EndpointListPublisher(
                dispatcher.endpointList(), new ProvisionalEndpoints(originKind), dispatcher::now);
    }

    private DiscoveryClient discoveryClient(Config config, EndpointListPublisher list) {
        Bootstrap connections =
                new Bootstrap().group(loop).channel(Transport.BEST.socket()).option(ChannelOption.TCP_NODELAY, true);
        return new DiscoveryClient(
                loop, connections, dispatcher.inputTurns(), config.discoverySettings(), list, dispatcher::now);
    }

    private RestoredState restoredState(TakeoverSnapshot snapshot) {
        OpenedState stored = statePersistence == null ? OpenedState.EMPTY : statePersistence.openedState();
        return new RestoredState(snapshot, stored, dispatcher.provenance(), dispatcher.now());
    }

    private void startSubsystems(EndpointListPublisher list, Routing routing) {
        LogMessage unavailability = Transport.unavailability();
        if (unavailability != null) {
            dispatcher.log(EventKind.NATIVE_TRANSPORT_UNAVAILABLE, unavailability);
        }
        Config config = config();
        dispatcher.start(discovery, peers, routing);
        discovery.start(restored.endpointList(config.initialEndpointList()));
        if (config.settings().peerMessagesAllowed()) {
            fleet.startListGossip(list);
        }
        dispatcher.resume(restored.learnedState());
        if (statePersistence != null) {
            statePersistence.start(dispatcher, discovery);
        }
        loop.scheduleWithFixedDelay(
                () -> InputBarrier.afterInput(loop, acceptor::closeStalled),
                SWEEP_INTERVAL_S,
                SWEEP_INTERVAL_S,
                TimeUnit.SECONDS);
    }

    /**
     * Listens on the predecessor's socket if it passes that, else on a new one.
     *
     * @param predecessor null if there is none
     */
    private void listen(TakeoverClient predecessor) throws InterruptedException {
        FileDescriptor socket = predecessor == null ? null : predecessor.socket();
        if (socket == null) {
            acceptor.listen(group, config().listen());
            return;
        }
        predecessor.awaitRequestIds();
        acceptor.listen(group, socket);
        predecessor.reportServing(client -> acceptor.adopt(loop, client));
        loop.execute(() -> dispatcher.log(predecessor.summary()));
    }

    /**
     * Runs a proxy with the configuration that the environment names, until SIGTERM or the end of a drain. Exits the
     * process if the proxy can't start.
     *
     * @param routes supplies its routes; null for none
     * @param storage where it stores the state that outlasts the process; null for nowhere
     * @param sighup triggers reloads of its configuration
     */
    public static Proxy serve(RouteSource routes, StateLocation storage, SighupHandler sighup) {
        Config config = startConfiguration();
        try {
            Proxy proxy = new Proxy(config, routes, true, HandoverServer.folder(), storage);
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::terminate));
            proxy.reloadOn(sighup, System.getenv("BALANCER_CONFIG"));
            // Not on the event loop: System.exit waits for the shutdown hook, which needs the event loop.
            proxy.shutdown.onCompleted(() -> new Thread(() -> System.exit(0), "drained").start());
            return proxy;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_WRONG_CONFIGURATION);
            throw e;
        } catch (Exception e) {
            System.err.println("can't listen on " + config.listen() + ": " + e.getMessage());
            System.exit(EXIT_START_FAILED);
            throw new IllegalStateException(e);
        }
    }

    /** The configuration that the environment names. Exits the process if it is unusable. */
    static Config startConfiguration() {
        try {
            return Config.read(System.getenv("BALANCER_CONFIG"));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_WRONG_CONFIGURATION);
            throw e;
        }
    }

    private void reloadOn(SighupHandler sighup, String file) {
        sighup.onSignal(() -> reload(file));
        if (!sighup.delivered()) {
            System.err.println("SIGHUP is ignored (started with nohup?): " + file
                    + " is polled twice a second for changes instead");
            new ConfigFileWatcher(Path.of(file), () -> reload(file)).start();
        }
    }

    /** Starts without a warm-up. */
    public static Proxy start(Config config) throws InterruptedException, IOException {
        return new Proxy(config, null, false, null, null);
    }

    /** Starts without a warm-up, with routes. */
    public static Proxy start(Config config, RouteSource routes) throws InterruptedException, IOException {
        return new Proxy(config, routes, false, null, null);
    }

    /** Starts without a warm-up, as the successor of the process that serves with this takeover folder. */
    public static Proxy start(Config config, Path takeoverFolder) throws InterruptedException, IOException {
        return new Proxy(config, null, false, takeoverFolder, null);
    }

    /** As above, with the state stored at {@code storage}; {@code takeoverFolder}: null for no takeover. */
    public static Proxy start(Config config, Path takeoverFolder, StateLocation storage)
            throws InterruptedException, IOException {
        return new Proxy(config, null, false, takeoverFolder, storage);
    }

    /** Starts the fleet features. On any thread. */
    public void joinFleet(FleetFeatures features) {
        loop.execute(() -> fleet.join(features));
    }

    /** Writes a line of metrics to the log at this interval, of at least a second. On any thread. */
    public void logMetrics(long intervalMs) {
        metricsLog(System.err).start(loop, Math.max(1000, intervalMs));
    }

    // ---- reload

    /** Reloads the configuration from this file. On any thread but the event loop. */
    public void reload(String file) {
        reloader.reload(file);
    }

    // ---- takeover

    private TakeoverSnapshot takeoverSnapshot() {
        return new TakeoverSnapshot(discovery.snapshot(), dispatcher.learnedState(), fleet.records());
    }

    /** Ends an idle client's connection during a drain, or passes it to the successor. */
    private void retire(ClientConnection client) {
        if (!handover.passesClients()) {
            client.closeGracefully();
        } else if (client.served()) {
            client.handOverTo(handoverServer::passClient);
        } // else this process waits for its first command, as the successor does not know when the wait began
    }

    // ---- drain and shutdown

    /** Handles SIGTERM; returns when the process may exit. Not on the event loop. */
    public void terminate() {
        shutdown.terminate();
    }

    /** Starts a drain that can be monitored and cancelled, or joins the one in progress. On the event loop only. */
    public DrainStateMachine.StartResult startDrain(double timeoutMs) {
        return shutdown.drain(timeoutMs);
    }

    /** Cancels a drain; returns null on success, else the reason why it can't be cancelled. On the event loop only. */
    public String cancelDrain() {
        return shutdown.cancelDrain();
    }

    /** The progress of a drain. On the event loop only. */
    public DrainStateMachine.Progress drainProgress() {
        return shutdown.drainProgress();
    }

    /** Stops at once; for tests and training. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // ---- status for operators

    /** The instance's name in its configuration. On any thread. */
    public String name() {
        return config().name();
    }

    /** The one event loop that everything runs on. */
    public EventLoop loop() {
        return loop;
    }

    /** The admin port's address; null if none is configured. On any thread. */
    public InetSocketAddress adminAddress() {
        InetSocketAddress configured = config().adminAddress();
        String environment = System.getenv("BALANCER_OPERATOR");
        return configured != null || environment == null || environment.isEmpty()
                ? configured
                : Addresses.parse(environment);
    }

    /** The open connections and requests, and the totals since the start. On the event loop only. */
    public ProxyStatus status() {
        return ProxyStatus.of(dispatcher, acceptor, handover);
    }

    /** The counts of safety rule violations so far. On the event loop only. */
    public RuleCounts ruleCounts() {
        return dispatcher.rules().counts();
    }

    /** The latest steps of requests. On the event loop only. */
    public RequestTrace requestTrace() {
        return dispatcher.trace();
    }

    /** How fresh the endpoint list is. On the event loop only. */
    public EndpointListStatus endpointListStatus() {
        return new EndpointListStatus(discovery.version(), dispatcher.now() - discovery.lastResponseMs());
    }

    /** The routes with their counters; null where there are none. On the event loop only. */
    public Router router() {
        return dispatcher.router();
    }

    /** The progress of recovery, and the stored state. On the event loop only. */
    public RecoveryStatus recoveryStatus() {
        return fleet.recoveryStatus();
    }

    /** The fleet's zone decisions; null where this instance takes no part in them. On the event loop only. */
    public ZoneOperations zoneDecisions() {
        return fleet.zoneDecisions();
    }

    /** The membership view; null where this instance takes no part in it. On the event loop only. */
    public FleetViewStatus fleetView() {
        return fleet.viewStatus();
    }

    // ---- for tests

    /** Where clients connect. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    /** Where peers send datagrams. */
    public InetSocketAddress peerAddress() {
        return peers.address();
    }

    /** The dispatcher of requests. On the event loop only. */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /** The clients' connections. On the event loop only. */
    public ClientAcceptor clientAcceptor() {
        return acceptor;
    }

    /** A log of metrics that writes to {@code out}. */
    public MetricsLog metricsLog(PrintStream out) {
        return new MetricsLog(name(), dispatcher, out);
    }

    private Config config() {
        return reloader.config();
    }
}

package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.RequestTrace;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.proxy.transport.TcpStatus;
import cacheproxy.proxy.upstream.UpstreamServers;
import cacheproxy.proxy.upstream.UpstreamTransport;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.route.Router;
import cacheproxy.route.Routing;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The core of a proxy, between clients, the load balancer and servers. Creates the classes that do the work, each with
 * one responsibility, and delegates to them:
 *
 * <ul>
 *   <li>{@link RequestLifecycle}, {@link RequestTable}, {@link RequestCompletion}: clients' requests
 *   <li>{@link AttemptStarter}, {@link AttemptLifecycle}, {@link ResponseStreaming}: their attempts at servers
 *   <li>{@link SerialLoadBalancer}, {@link DispatcherRoutingActions}: events for the load balancer, and its actions
 *   <li>{@link EndpointListEvents}, {@link PeerLinks}: events from discovery and from other proxies
 *   <li>{@link BufferLimits}, {@link DrainState}, {@link RequestMetrics}: limits, state and metrics of the process
 * </ul>
 *
 * Each request gets one response, and each attempt ends once. Event loop only, except for {@link #now}.
 */
public final class Dispatcher {
    private static final long SWEEP_INTERVAL_MS = 1000;
    /** The event loop wakes up at least this often, so that a time in which the process was stopped shows. */
    private static final long HEARTBEAT_INTERVAL_MS = 250;

    private final EventLoop loop;
    private final TcpStatus tcpStatus = new TcpStatus();
    private final ProxyClock clock;
    private final Timers timers;
    private final InputTurns turns;
    private final EventLog log;
    private final RuleMonitor rules;
    private final RequestTrace trace = new RequestTrace();
    private final Counters counters = new Counters();
    private final RequestMetrics metrics;
    private final RequestSettings settings;
    private final RequestTable requests = new RequestTable();
    private final BufferLimits bufferLimits;
    private final DrainState drain = new DrainState();
    private final ConnectionFailures failures;
    /** The provenance and age of state in use that this process has not observed itself. */
    private final ProvenanceTracker provenance = new ProvenanceTracker();

    private final UpstreamServers servers;
    private final SerialExecutor executor;
    private final SerialLoadBalancer loadBalancer;
    private final RequestCompletion completion;
    private final AttemptLifecycle attempts;
    private final AttemptStarter attemptStarter;
    private final RequestLifecycle lifecycle;
    private final PeerLinks peerLinks;
    private final EndpointListEvents endpointListEvents;
    private DispatcherRoutingActions routingActions;
    private Future<?> sweeper;
    private Future<?> heartbeat;

    /** Creates a dispatcher that has not been started. */
    public Dispatcher(EventLoop loop, LoopClock loopClock, Config config, UpstreamTransport upstream) {
        this.loop = loop;
        clock = new ProxyClock(loopClock, tcpStatus);
        timers = new Timers(loop, loopClock);
        turns = new InputTurns(loop);
        log = new EventLog(System.err, clock::now);
        rules = new RuleMonitor(log);
        metrics = new RequestMetrics(counters, clock);
        settings = new RequestSettings(config);
        counters.retainClasses(settings.classNames());
        failures = new ConnectionFailures(counters, log);
        bufferLimits = new BufferLimits(config.memoryMb());
        servers = upstreamServers(config, upstream);
        executor = new SerialExecutor(log);
        loadBalancer = new SerialLoadBalancer(executor, clock);
        completion = new RequestCompletion(clock, settings, requests, metrics, rules, trace, this::endUnsentAttempts);
        attempts = new AttemptLifecycle(clock, settings, executor, loadBalancer, completion, trace);
        ResponseStreaming streaming = new ResponseStreaming(clock, loadBalancer, attempts);
        attemptStarter = new AttemptStarter(
                turns, clock, timers, settings, servers, counters, rules, trace, loadBalancer, attempts, streaming);
        lifecycle = new RequestLifecycle(
                clock,
                timers,
                log,
                settings,
                requests,
                metrics,
                rules,
                trace,
                provenance,
                loadBalancer,
                completion,
                attempts);
        peerLinks = new PeerLinks(loadBalancer);
        endpointListEvents =
                new EndpointListEvents(settings, servers, executor, loadBalancer, peerLinks, provenance, counters, log);
        loopClock.onStall(stall -> failures.eventLoopStalled(stall, requests.openCount(), servers.connections()));
    }

    private UpstreamServers upstreamServers(Config config, UpstreamTransport upstream) {
        return new UpstreamServers(
                new DispatcherUpstreamContext(this, upstream.quietPeriodMs()),
                bootstrap(loop, upstream.channelType()),
                config.upstreamSockets());
    }

    private static Bootstrap bootstrap(EventLoop loop, Class<? extends Channel> channelType) {
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(channelType);
        if (channelType == Transport.BEST.socket()) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        return bootstrap;
    }

    private void endUnsentAttempts(ClientRequest request) {
        attempts.endUnsent(request);
    }

    // ---- start, settings, stop

    /**
     * Starts the load balancer, which uses discovery and peers from then on.
     *
     * @param routing the routes; null for a single pool with the policy of the settings
     */
    public void start(EndpointListSource discovery, PeerDatagramSocket peers, Routing routing) {
        routingActions = new DispatcherRoutingActions(
                requests,
                lifecycle,
                attemptStarter,
                attempts,
                completion,
                loadBalancer,
                timers,
                servers,
                log,
                peerLinks,
                discovery,
                peers);
        loadBalancer.start(settings.routing(), settings.config().seed(), routing, routingActions);
        sweeper = loop.scheduleWithFixedDelay(
                () -> InputBarrier.afterInput(loop, servers::closeIdleAndStalled),
                SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        heartbeat = loop.scheduleWithFixedDelay(
                () -> {}, HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Applies new settings to requests accepted from now on; open requests keep the settings they were accepted with.
     */
    public void applySettings(Config next) {
        settings.apply(next);
        counters.retainClasses(settings.classNames());
        loadBalancer.settingsChanged(next.settings());
    }

    /** Replaces the routes; only if it was started with routes. */
    public void replaceRoutes(Routing routing) {
        loadBalancer.routesChanged(routing);
    }

    /** Closes all connections to servers and stops calling the load balancer. */
    public void stop() {
        executor.stop();
        sweeper.cancel(false);
        heartbeat.cancel(false);
        servers.close();
    }

    // ---- clients: requests

    /** Accepts a request that was received completely; its {@link ResponseWriter} gets one response. */
    public void accept(ClientRequest request) {
        lifecycle.accept(request);
    }

    /** A client's connection has ended; {@code closedByProxy}: this proxy closed it, and not gracefully. */
    public void clientDisconnected(ClientRequest request, boolean closedByProxy) {
        lifecycle.clientDisconnected(request, closedByProxy);
    }

    /** Fails a request whose value began to arrive, but could not be written to its client in time. */
    public void valueTimedOut(ClientRequest request) {
        lifecycle.valueTimedOut(request);
    }

    /** Completes all open requests now, because the deadline of a drain has passed. */
    public void completeAll() {
        lifecycle.completeAll();
    }

    /** The ids of requests that are shared with the other process of a takeover. */
    public SharedRequestIds sharedRequestIds() {
        return new SharedRequestIds(requests, lifecycle, clock, settings);
    }

    /** The number of open requests. */
    public int openRequests() {
        return requests.openCount();
    }

    /** The number of requests accepted since the start. */
    long acceptedRequests() {
        return requests.acceptedCount();
    }

    /** The number of accepted requests that are completed, including those whose clients disconnected. */
    public long completedRequests() {
        return metrics.completed();
    }

    /** The longest timeout of any service class in the settings or of an open request, in milliseconds. */
    public double longestDeadlineMs() {
        return Math.max(settings.longestDeadlineMs(), requests.longestDeadlineMs());
    }

    // ---- clients: connections

    /** Counts and logs connection failures. */
    public ConnectionFailures failures() {
        return failures;
    }

    /** The memory limits for buffered values and client input. */
    public BufferLimits bufferLimits() {
        return bufferLimits;
    }

    /** The turns in which connections use the event loop. */
    public InputTurns inputTurns() {
        return turns;
    }

    /** How client connections are to behave while this process drains. */
    public DrainState drain() {
        return drain;
    }

    // ---- servers: attempts

    /** The servers of the endpoint list, with the connections to them. */
    public UpstreamServers servers() {
        return servers;
    }

    /** After how long servers close an idle connection, in milliseconds. */
    double idleCloseMs() {
        return settings.config().idleCloseMs();
    }

    // ---- load balancer

    /** Carries out the load balancer's actions; null before {@link #start}. */
    RoutingActions routingActions() {
        return routingActions;
    }

    /** Whether the load balancer currently sends this server no ordinary requests. */
    boolean isAvoided(int server) {
        return loadBalancer.isAvoided(server);
    }

    /** What the load balancer has learned, by pool, for storing it or passing it to a successor. */
    public Map<String, LearnedState> learnedState() {
        return loadBalancer.learnedState();
    }

    /** Adopts what another process has learned; to be called after the endpoint list is applied. */
    public void resume(Map<String, LearnedState> learned) {
        loadBalancer.resume(learned);
    }

    /** The router; null if there are no routes. */
    public Router router() {
        return loadBalancer.router();
    }

    /** The routing settings in force. */
    public RoutingSettings settings() {
        return settings.routing();
    }

    // ---- endpoint list and peers

    /** Receives the updates of the endpoint list. */
    public EndpointListPublisher.Subscriber endpointList() {
        return endpointListEvents;
    }

    /** Adds a listener that receives the kind of each update of the endpoint list after it was applied. */
    void addEndpointListListener(Consumer<EndpointUpdateKind> listener) {
        endpointListEvents.addListener(listener);
    }

    /** The links to other proxies. */
    public PeerLinks peerLinks() {
        return peerLinks;
    }

    /** Applies the fleet's decisions on zones. */
    void applyZoneDirectives(List<ZoneDirective> directives) {
        loadBalancer.zoneDirectivesIssued(directives);
    }

    /** The provenance and age of state in use that this process has not observed itself. */
    public ProvenanceTracker provenance() {
        return provenance;
    }

    // ---- time, log and metrics

    EventLoop loop() {
        return loop;
    }

    /** The time of {@link ProxyClock}, by which all durations are measured, in milliseconds. Any thread. */
    public double now() {
        return clock.now();
    }

    /** What the operating system reports about connections. */
    public TcpStatus tcpStatus() {
        return tcpStatus;
    }

    /** When the input that is being read from this connection arrived, on the clock of {@link #now}. */
    public double inputReceivedMs(Channel channel) {
        return clock.inputReceivedMs(channel);
    }

    /** Runs a task after this delay in milliseconds, or up to one slot of {@link Timers} later. */
    public Timer after(double ms, Runnable task) {
        return timers.after(ms, task);
    }

    /** Logs an event, within the rate limit of its kind. */
    public void log(EventKind kind, String text) {
        log.log(kind, text);
    }

    /** As above. */
    public void log(EventKind kind, LogMessage message) {
        log.log(kind, message);
    }

    /** Logs a line of information. */
    public void log(String text) {
        log.log(EventKind.INFO, text);
    }

    /** Counts requests, connections and configuration reloads. */
    public Counters counters() {
        return counters;
    }

    /** When this dispatcher was created, on the clock of {@link #now}. */
    double startedMs() {
        return metrics.startedMs();
    }

    /** Milliseconds from {@link #startedMs} to the first successful request; negative if there was none yet. */
    long firstServedMs() {
        return metrics.firstServedMs();
    }

    /** The latest steps of requests. */
    public RequestTrace trace() {
        return trace;
    }

    /** Counts the attempts that the safety rules forbade, and violations of the rules. */
    public RuleMonitor rules() {
        return rules;
    }
}

package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.upstream.UpstreamServers;
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
 * The core of a proxy: connects clients, the load balancer and servers. Creates the parts that do the work, each with
 * one job, and passes calls on to them:
 *
 * <ul>
 *   <li>{@link RequestLifecycle}, {@link RequestTable}, {@link RequestCompletion}: clients' requests
 *   <li>{@link AttemptStarter}, {@link AttemptLifecycle}, {@link ResponseStreaming}: their attempts at servers
 *   <li>{@link SerialLoadBalancer}, {@link DispatcherRoutingActions}: events to the load balancer, and its orders
 *   <li>{@link EndpointListEvents}, {@link PeerLinks}: events from discovery and from other proxies
 *   <li>{@link BufferLimits}, {@link DrainState}, {@link RequestMetrics}: limits, state and metrics of the process
 * </ul>
 *
 * A request has one response and an attempt one end. Event loop only, except for {@link #now}.
 */
public final class Dispatcher {
    private static final long SWEEP_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final ProxyClock clock;
    private final Timers timers;
    private final EventLog log;
    private final RuleMonitor rules;
    private final Counters counters = new Counters();
    private final RequestMetrics metrics;
    private final RequestSettings settings;
    private final RequestTable requests = new RequestTable();
    private final BufferLimits bufferLimits;
    private final DrainState drain = new DrainState();
    private final ConnectionFailures failures;
    /** Provenance and age of what is in use that was not observed by this process. */
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

    /** {@code upstream}: the kind of channel for connections to servers. */
    public Dispatcher(EventLoop loop, LoopClock loopClock, Config config, Class<? extends Channel> upstream) {
        this.loop = loop;
        clock = new ProxyClock(loopClock);
        timers = new Timers(loop);
        log = new EventLog(System.err, clock::now);
        rules = new RuleMonitor(log);
        metrics = new RequestMetrics(counters, clock);
        settings = new RequestSettings(config);
        counters.retainClasses(settings.classNames());
        failures = new ConnectionFailures(counters, log);
        bufferLimits = new BufferLimits(config.memoryMb());
        servers = new UpstreamServers(
                new DispatcherUpstreamContext(this), bootstrap(loop, upstream), config.upstreamSockets());
        executor = new SerialExecutor(log);
        loadBalancer = new SerialLoadBalancer(executor, clock);
        completion = new RequestCompletion(clock, settings, requests, metrics, rules, this::endUnsentAttempts);
        attempts = new AttemptLifecycle(clock, settings, executor, loadBalancer, completion);
        ResponseStreaming streaming = new ResponseStreaming(clock, loadBalancer, attempts);
        attemptStarter = new AttemptStarter(
                loop, loopClock, clock, timers, settings, servers, counters, rules, loadBalancer, attempts, streaming);
        lifecycle = new RequestLifecycle(
                clock, timers, log, settings, requests, metrics, rules, provenance, loadBalancer, completion, attempts);
        peerLinks = new PeerLinks(loadBalancer);
        endpointListEvents =
                new EndpointListEvents(settings, servers, executor, loadBalancer, peerLinks, provenance, counters, log);
        loopClock.onStall(failures::eventLoopStalled);
    }

    private static Bootstrap bootstrap(EventLoop loop, Class<? extends Channel> upstream) {
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(upstream);
        if (upstream == Transport.BEST.socket()) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        return bootstrap;
    }

    private void endUnsentAttempts(ClientRequest request) {
        attempts.endUnsent(request);
    }

    // ---- start, settings, stop

    /**
     * Starts the load balancer. Discovery and peers are used from here on.
     *
     * @param routing the routes; null: a single pool under the settings' own policy
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
                servers::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Applies other settings to requests to come; those that are open keep the ones they were accepted with. */
    public void applySettings(Config next) {
        settings.apply(next);
        counters.retainClasses(settings.classNames());
        loadBalancer.settingsChanged(next.settings());
    }

    /** Replaces the routes; only where there are any. */
    public void replaceRoutes(Routing routing) {
        loadBalancer.routesChanged(routing);
    }

    /** Closes all connections to servers; the load balancer is not called any more. */
    public void stop() {
        executor.stop();
        sweeper.cancel(false);
        servers.close();
    }

    // ---- clients: requests

    /** Accepts a request that has been received completely; its {@link ResponseWriter} gets one response. */
    public void accept(ClientRequest request) {
        lifecycle.accept(request);
    }

    /** A client's connection has ended; {@code closedHere}: by this side, and not in order. */
    public void clientDisconnected(ClientRequest request, boolean closedHere) {
        lifecycle.clientDisconnected(request, closedHere);
    }

    /** Completes every open request now, because a drain's deadline has passed. */
    public void completeAll() {
        lifecycle.completeAll();
    }

    /** How many requests are open. */
    public int openRequests() {
        return requests.openCount();
    }

    /** How many requests were accepted since the start. */
    long acceptedRequests() {
        return requests.acceptedCount();
    }

    /** How many accepted requests are completed, including those whose clients disconnected. */
    public long completedRequests() {
        return metrics.completed();
    }

    /** The longest deadline of any request that is open or to come, in milliseconds. */
    public double longestDeadlineMs() {
        return Math.max(settings.longestDeadlineMs(), requests.longestDeadlineMs());
    }

    // ---- clients: connections

    /** Counts and logs what goes wrong with connections. */
    public ConnectionFailures failures() {
        return failures;
    }

    /** The limits of memory for values and input. */
    public BufferLimits bufferLimits() {
        return bufferLimits;
    }

    /** Whether this process drains. */
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

    /** Carries out the load balancer's orders; null before {@link #start}. */
    RoutingActions routingActions() {
        return routingActions;
    }

    /** Whether the load balancer sends this server no ordinary request now. */
    boolean isAvoided(int server) {
        return loadBalancer.isAvoided(server);
    }

    /** What the load balancer has learned, by pool, for a process that takes over. */
    public Map<String, LearnedState> learnedState() {
        return loadBalancer.learnedState();
    }

    /** Continues with what another process has learned; after the endpoint list that it used. */
    public void resume(Map<String, LearnedState> learned) {
        loadBalancer.resume(learned);
    }

    /** The routes, or null where there are none. */
    public Router router() {
        return loadBalancer.router();
    }

    /** The settings of routing in force. */
    public RoutingSettings settings() {
        return settings.routing();
    }

    // ---- endpoint list and peers

    /** Takes updates of the endpoint list. */
    public EndpointListPublisher.Subscriber endpointList() {
        return endpointListEvents;
    }

    /** Adds a listener that is told the kind of each update of the endpoint list once it is in use. */
    void addEndpointListListener(Consumer<EndpointUpdateKind> listener) {
        endpointListEvents.addListener(listener);
    }

    /** The links to other proxies. */
    public PeerLinks peerLinks() {
        return peerLinks;
    }

    /** Applies what the fleet has decided on zones. */
    void applyZoneDirectives(List<ZoneDirective> directives) {
        loadBalancer.zoneDirectivesIssued(directives);
    }

    /** Provenance and age of what is in use that was not observed by this process. */
    public ProvenanceTracker provenance() {
        return provenance;
    }

    // ---- time, log and metrics

    EventLoop loop() {
        return loop;
    }

    /** The time of {@link ProxyClock}, which every span is measured by, in milliseconds. Any thread. */
    public double now() {
        return clock.now();
    }

    /** When input that is being read from this connection arrived, on the clock of {@link #now}. */
    public double inputReceivedMs(Channel channel) {
        return clock.inputReceivedMs(channel);
    }

    /** Runs a task after this time, in milliseconds, or up to a slot of {@link Timers} later. */
    public Timer after(double ms, Runnable task) {
        return timers.after(ms, task);
    }

    /** Logs an event, within the rate limit of its kind. */
    public void log(EventKind kind, String text) {
        log.log(kind, text);
    }

    /** Logs an event, within the rate limit of its kind. */
    void log(EventKind kind, LogMessage message) {
        log.log(kind, message);
    }

    /** Logs a line of information. */
    public void log(String text) {
        log.log(EventKind.INFO, text);
    }

    /** What is counted of requests, connections and reloads. */
    public Counters counters() {
        return counters;
    }

    /** When this was created, on the clock of {@link #now}. */
    double startedMs() {
        return metrics.startedMs();
    }

    /** Milliseconds from then to the first request that succeeded; negative: none yet. */
    long firstServedMs() {
        return metrics.firstServedMs();
    }

    /** What the rules forbade and what violated them. */
    public RuleMonitor rules() {
        return rules;
    }
}

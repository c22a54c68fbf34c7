package cacheproxy.proxy;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.admission.Verdict;
import cacheproxy.flow.ByteBudget;
import cacheproxy.flow.ReadAheadBudget;
import cacheproxy.flow.ReadTimeout;
import cacheproxy.flow.RecentIds;
import cacheproxy.membership.Living;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.Timers.Timer;
import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.route.Router;
import cacheproxy.route.Routing;
import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.LoadReportSource;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import cacheproxy.routing.ZoneDirective;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The one caller of the decision module and the one that carries its orders out. Keeps what requests and attempts are
 * in: an attempt ends once, a request is answered once. All of it runs on the event loop; the module is never called
 * from within one of its own orders, what happens meanwhile waits in line.
 */
final class Dispatcher implements RoutingActions, EndpointListPublisher.Subscriber {
    /** What was last known of clients and servers may be so old when an attempt begins, in milliseconds. */
    private static final double STALE_MS = 50;
    /** What a request that the module left unanswered at its due time may still wait for it. */
    private static final double OVERDUE_MS = 10;
    /** A day; what is longer is no deadline. */
    private static final double MAX_WAIT_MS = 86_400_000;

    /** Of a server that is not in the list. */
    private static final SafetyRules.Location NOWHERE = new SafetyRules.Location(-1, -1);

    private static final double PROBE_TIMEOUT_MS = 250;
    /** Of the memory for buffers, values that are kept whole get one part of so many; the rest is for what passes. */
    private static final int VALUES_PART = 2;
    /** What is read ahead of clients gets one part of so many, beside what each connection has of its own. */
    private static final int READ_AHEAD_PART = 16;

    private static final long SWEEP_MS = 1000;

    private final EventLoop loop;
    private final LoopClock loopClock;
    private final ProxyClock clock;
    private final EventLog events = new EventLog(System.err, this::now);
    private final RuleMonitor rules = new RuleMonitor(events);
    private final Timers timers;
    private final Counters counters = new Counters();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final IntObjectHashMap<ClientRequest> exchanges = new IntObjectHashMap<>();
    /** The open requests by their clients' ids. */
    private final Map<String, ClientRequest> open = new HashMap<>();

    private final RecentIds connectionFailed = new RecentIds();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private final ByteBudget valueBudget;
    private final ReadAheadBudget readAhead =
            new ReadAheadBudget(PlatformDependent.maxDirectMemory() / READ_AHEAD_PART);
    private final Servers servers;
    private Config config;
    private RoutingSettings settings;
    private LoadBalancer module;
    /** The module where routes are set, else null. */
    private Router router;

    private EndpointListSource discovery;
    private PeerSocket peers;
    private PeerNews news;
    /** Mistakes of the program that were met so far. */
    private long faults;

    private MemberLink members;
    private NodeTalk nodes;
    private ZoneLink zones;
    private StateQueryLink recall;
    /** What is worked with that was not seen here, and until when it may be. */
    private final ProvenanceTracker trust = new ProvenanceTracker();
    /** Who wants to know of news of the list once it is in use. */
    private final List<Consumer<EndpointUpdateKind>> followers = new ArrayList<>();

    private ClientListener listener;
    private Future<?> sweeper;
    private boolean busy;
    private boolean stopped;
    /** Connections end after the last answer that they are owed. */
    private boolean draining;
    /** Clients that ask are told so. */
    private boolean drainAnnounced;

    private long completedRequests;
    /** For so long after a request's end a server may still be at it, and a command with its id on its way. */
    private double idHoldMs;

    private final double startedMs;
    private long firstServedMs = -1;
    private int nextId;

    /** What wants to know of clients that have left, or should. */
    interface ClientListener {
        void clientLeft(ClientConnection client);

        /** It is between requests, and none is wanted from it any more. */
        void closeWhenIdle(ClientConnection client);
    }

    Dispatcher(EventLoop loop, LoopClock loopClock, Config config, Class<? extends Channel> upstream) {
        this.loop = loop;
        this.loopClock = loopClock;
        clock = new ProxyClock(loopClock);
        timers = new Timers(loop);
        startedMs = now();
        use(config);
        valueBudget = new ByteBudget(
                Math.min((long) config.memoryMb() << 20 >> 3, PlatformDependent.maxDirectMemory() / VALUES_PART));
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(upstream);
        if (upstream == Transport.BEST.socket()) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        servers = new Servers(this, bootstrap, config.sockets() / 3);
        loopClock.onStall(ms -> {
            counters.increment(Metric.EVENT_LOOP_STALLS);
            log(EventKind.EVENT_LOOP_STALLED, "the event loop stood still for " + Math.round(ms) + " ms");
        });
    }

    /**
     * Starts the module on the list as it was last had; discovery and peers come to be used from here on.
     *
     * @param routing null: one pool, and the settings' own policy
     */
    void start(EndpointListSource source, PeerSocket socket, ClientListener clients, Routing routing) {
        discovery = source;
        peers = socket;
        listener = clients;
        router = routing == null ? null : new Router(settings, config.seed(), routing);
        module = router != null ? router : new CarpLoadBalancer(settings, config.seed());
        sweeper = loop.scheduleWithFixedDelay(servers::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void use(Config next) {
        config = next;
        settings = next.settings();
        classes.clear();
        settings.classes().forEach(c -> classes.put(c.name(), classes.size()));
        tenants.clear();
        settings.tenants().forEach(t -> tenants.put(t.name(), tenants.size()));
        counters.retainClasses(classes.keySet());
        idHoldMs = settings.classes().stream()
                .mapToDouble(ServiceClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** Takes other settings for requests to come; those under way keep what held when they came. */
    void applySettings(Config next) {
        use(next);
        runSerially(() -> module.onSettings(now(), next.settings(), this));
    }

    /** What the module has learnt, for another process that takes over. */
    Map<String, LearnedState> learnedState() {
        return module.learnedState(now());
    }

    /** Goes on where another process left off; after the list that it held. */
    void resume(Map<String, LearnedState> learnt) {
        runSerially(() -> module.resume(now(), learnt));
    }

    /** The longest that any request may be waited for, of those that are open and those to come. */
    double longestDeadlineMs() {
        return Stream.concat(settings.classes().stream(), open.values().stream().map(x -> x.serviceClass))
                .mapToDouble(ServiceClass::deadlineMs)
                .max()
                .orElse(0);
    }

    double connectTimeoutMs() {
        return settings.connectTimeoutMs();
    }

    /** When servers close connections that stand idle. */
    double idleCloseMs() {
        return config.idleCloseMs();
    }

    Counters counters() {
        return counters;
    }

    /** The servers of the list, with our connections to them. */
    Servers servers() {
        return servers;
    }

    /** Whether the module sends this server nothing ordinary now. */
    boolean isEjected(int server) {
        return module.isAvoided(now(), server);
    }

    RoutingSettings settings() {
        return settings;
    }

    /** The routes, or null where there are none. */
    Router router() {
        return router;
    }

    /** Takes other routes, where there are any. */
    void replaceRoutes(Routing routing) {
        runSerially(() -> router.replace(now(), routing, this));
    }

    /** What everything runs on. */
    EventLoop loop() {
        return loop;
    }

    /** Ends all that it has open; the module is not called any more. */
    void stop() {
        stopped = true;
        sweeper.cancel(false);
        servers.close();
    }

    /** The time of {@link ProxyClock}, which every span is measured by. */
    double now() {
        return clock.now();
    }

    /** When input that is being read from this connection came, on the clock of {@link #now}. */
    double inputReceivedMs(Channel channel) {
        return clock.inputReceivedMs(channel);
    }

    /** A connection of a client could not be accepted. */
    void acceptFailed(Throwable cause) {
        counters.increment(Metric.ACCEPT_FAILURES);
        log(EventKind.ACCEPT_FAILED, String.valueOf(cause.getMessage()));
    }

    /** A client has stopped in the middle of a request, or has not sent one. */
    void clientTimedOut(Object who, ReadTimeout at) {
        counters.increment(Metric.CLIENT_TIMEOUTS);
        log(EventKind.CLIENT_TIMEOUT, who + " in its " + at);
    }

    List<String> loadReportFields() {
        return settings.loadReportFields();
    }

    float[] report(String list) {
        return settings.loadReportSource() == LoadReportSource.WITH_RESPONSES
                ? MetaCodec.report(list, settings.loadReportFields())
                : null;
    }

    boolean healthChecksReportLoad() {
        return settings.loadReportSource() == LoadReportSource.BY_HEALTH_CHECK;
    }

    // ---- bounds

    /** The room for values that are kept whole. */
    ByteBudget valueBudget() {
        return valueBudget;
    }

    /** What of clients may be read before it can be looked at. */
    ReadAheadBudget readAhead() {
        return readAhead;
    }

    boolean draining() {
        return draining;
    }

    boolean drainAnnounced() {
        return drainAnnounced;
    }

    void setDraining(boolean ending, boolean told) {
        draining = ending;
        drainAnnounced = told;
    }

    /** When it was made, on the clock of {@link #now}. */
    double startedMs() {
        return startedMs;
    }

    /** How long after that it first served a request; negative: it has not yet. */
    long firstServedMs() {
        return firstServedMs;
    }

    /** Requests that were taken since the start. */
    long acceptedRequests() {
        return nextId;
    }

    /** Requests that have had no final answer. */
    int openRequests() {
        return open.size();
    }

    /** Requests that have had theirs, or whose clients have gone. */
    long completedRequests() {
        return completedRequests;
    }

    /** A drain's deadline has come: each open request gets its final answer now. */
    void completeAll() {
        for (ClientRequest x : List.copyOf(open.values())) {
            boolean streaming = x.isStreaming();
            x.transitionTo(RequestState.ANSWERED); // before its attempts end, or the module would answer
            boolean refused = !streaming && refusable(x);
            recordOutcome(x, refused ? RequestOutcome.REJECTED : RequestOutcome.FAILED);
            log(EventKind.REQUEST_ABORTED, "by the end of a drain: request " + x.command.id);
            runSerially(() -> module.onClientDisconnected(now(), x.id, this));
            if (streaming) {
                x.responseWriter.abort();
            } else if (refused) {
                x.responseWriter.reject(0);
            } else {
                x.responseWriter.fail();
            }
            free(x);
        }
    }

    /** Gives up all that is out for a request; whether it may be refused then. */
    private boolean refusable(ClientRequest x) {
        List.copyOf(x.attempts).forEach(this::expireAttempt);
        return SafetyRules.mayReject(x.serviceClass, x.attemptsExcept(null)).allowed();
    }

    void clientLeft(ClientConnection client) {
        listener.clientLeft(client);
    }

    void closeWhenIdle(ClientConnection client) {
        listener.closeWhenIdle(client);
    }

    // ---- calls of the module

    private void runSerially(Runnable call) {
        if (stopped) {
            return;
        }
        if (busy) {
            waiting.add(call);
            return;
        }
        busy = true;
        try {
            for (Runnable r = call; r != null; r = waiting.poll()) {
                try {
                    r.run();
                } catch (RuntimeException e) {
                    fault(e);
                }
            }
        } finally {
            busy = false;
        }
    }

    private void fault(RuntimeException e) {
        faults++;
        StackTraceElement[] trace = e.getStackTrace();
        log(EventKind.INTERNAL_ERROR, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** A module that fails on a request must not take others with it: this one ends as failed. */
    private void guard(ClientRequest x, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            fault(e);
            finish(x, RequestOutcome.FAILED, ResponseWriter::fail);
        }
    }

    @Override
    public void onPollStarted() {
        counters.increment(Metric.ENDPOINT_LIST_POLLS);
    }

    @Override
    public void onPollFailed(String why) {
        counters.increment(Metric.ENDPOINT_LIST_POLL_FAILURES);
        log(EventKind.ENDPOINT_LIST_POLL_FAILED, why);
        if (news != null) {
            news.callFailed();
        }
    }

    @Override
    public void onEntryRejected(String what) {
        log(EventKind.ENDPOINT_LIST_ENTRY_INVALID, what);
    }

    @Override
    public void onEndpoints(EndpointUpdateKind kind, List<DiscoveredEndpoint> hosts) {
        servers.listed(kind, hosts, config.streamsPerConnection());
        long faultsBefore = faults;
        runSerially(() -> {
            if (router != null) { // with its event and not before it: another may wait in line
                hosts.forEach(h -> router.describe(h.endpoint().id(), h.poolMember()));
            }
            module.onEndpointUpdate(
                    now(),
                    kind,
                    hosts.stream().map(DiscoveredEndpoint::endpoint).toList(),
                    this);
        });
        boolean taken = faults == faultsBefore;
        runSerially(servers::withdraw);
        if (!taken) {
            throw new IllegalStateException("the decision module does not take the list");
        }
        followers.forEach(f -> runSerially(() -> f.accept(kind)));
    }

    /** This is told of news of the list once it is in use. */
    void addEndpointListListener(Consumer<EndpointUpdateKind> follower) {
        followers.add(follower);
    }

    /** What is worked with that was not seen here. */
    ProvenanceTracker trust() {
        return trust;
    }

    @Override
    public void onListChanged(String what) {
        log(EventKind.ENDPOINT_LIST_CHANGED, what);
    }

    @Override
    public void onListApplied(long version) {
        trust.confirmed(ProvenanceTracker.Subject.ENDPOINT_LIST);
        if (news != null) {
            news.held(version);
        }
    }

    /** What peers are told of the list, and what they tell; null: nothing. */
    void news(PeerNews by) {
        news = by;
    }

    /** So many of the fleet live. */
    void liveMembersChanged(Living living) {
        if (news != null) {
            news.among(living);
        }
    }

    /** Who takes part in the fleet's view by this proxy, and what it tells of nodes. */
    void members(MemberLink by, NodeTalk talk) {
        members = by;
        nodes = talk;
    }

    /** Who asks peers what they remember, and answers them. */
    void recall(StateQueryLink by) {
        recall = by;
    }

    /** Who leaves zones with the fleet. */
    void zones(ZoneLink by) {
        zones = by;
    }

    /** What the fleet has decided of zones. */
    void applyZoneDirectives(List<ZoneDirective> orders) {
        runSerially(() -> module.onZoneDirectives(now(), orders, this));
    }

    void peerMessageReceived(int peer, PeerSocket.Kind kind, byte[] message) {
        switch (kind) {
            case LIST -> {
                if (news != null) {
                    news.heard(peer, message);
                }
            }
            case MODULE -> runSerially(() -> module.onPeerMessage(now(), peer, message, this));
            case MEMBERS -> {
                if (members != null) {
                    members.heard(peer, message);
                }
            }
            case NODES -> {
                if (nodes != null) {
                    nodes.heard(peer, message);
                }
            }
            case RECALL -> {
                if (recall != null) {
                    recall.heard(peer, message);
                }
            }
        }
    }

    /** Takes a request whose last byte has come; it will be answered once. */
    void accept(ClientRequest x) {
        RequestCommand c = x.command;
        double now = now();
        RequestTerms terms = c.terms;
        Integer kind = classes.get(String.valueOf(terms.className()));
        Integer tenant = tenants.isEmpty() || terms.tenant() == null ? Integer.valueOf(0) : tenants.get(terms.tenant());
        double wait = terms.timeoutMs(); // the servers are told it, so there is none to assume
        if (kind == null || tenant == null || !(wait > 0 && wait <= MAX_WAIT_MS)) {
            rejectInvalid(x, "unknown class, tenant or deadline");
            return;
        }
        // Guards the one whose id it is: a server would take this for the same request, and answer it as such. One that
        // ended while this was on its way would have a second answer.
        if (open.containsKey(c.id) || connectionFailed.contains(now, c.id)) {
            rejectInvalid(x, "id of another request");
            return;
        }
        open.put(c.id, x);
        x.id = ++nextId;
        x.serviceClass = settings.classes().get(kind);
        x.maxAttempts = settings.maxAttempts();
        x.deadlineMs = x.receivedMs + wait;
        exchanges.put(x.id, x);
        Request request = new Request(
                x.id,
                kind,
                tenant,
                Installation.key(c.key),
                x.deadlineMs,
                terms.workMicros() / 1000,
                terms.valueBytes(),
                c.write,
                terms.repeated());
        trust.usedForDecision(now, ProvenanceTracker.Subject.ENDPOINT_LIST);
        // Before the module's own timer for the same time: a silent server's attempt ends as a time-out then.
        x.deadlineTimer = after(x.deadlineMs - now, () -> due(x));
        runSerially(() -> guard(x, () -> {
            if (router != null) {
                router.onRequest(now, request, c.key, c.front, this);
            } else {
                module.onRequest(now, request, this);
            }
        }));
    }

    private void rejectInvalid(ClientRequest x, String why) {
        x.transitionTo(RequestState.ANSWERED);
        log(EventKind.REQUEST_INVALID, why + ": request " + x.command.id);
        counters.recordOutcome(x.command.terms.className(), RequestOutcome.FAILED);
        x.responseWriter.rejectInvalid(why);
        free(x);
    }

    private void due(ClientRequest x) {
        for (int i = 0; i < x.attempts.size() && !x.isStreaming(); i++) {
            expireAttempt(x.attempts.get(i));
        }
        x.deadlineTimer = after(OVERDUE_MS, () -> {
            if (x.state() == RequestState.OPEN) {
                log(EventKind.REQUEST_ABORTED, "left unanswered by the module: request " + x.command.id);
                finish(x, RequestOutcome.FAILED, ResponseWriter::fail);
            }
        });
    }

    /**
     * The proxy stops waiting. What went out may have run or may yet: told as a connection that failed, a write would
     * be refused or sent again, and have its effect twice.
     */
    void expireAttempt(RequestAttempt a) {
        if (!a.ended) {
            if (a.connection != null) {
                boolean unsent = a.connection.giveUp(a);
                endAttempt(a, unsent ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT, 0, null, null);
            } else {
                endAttempt(a, AttemptOutcome.NOT_SENT, 0, null, null);
            }
        }
    }

    /** A client's connection has ended; {@code closedHere}: by this side, and not in order. */
    void clientDisconnected(ClientRequest x, boolean closedHere) {
        if (!x.isCompleted()) {
            if (closedHere) {
                rules.breached(RuleViolation.CLOSED_BEFORE_ANSWER, x, "its connection was closed from this side");
            }
            over(x, RequestState.CLIENT_DISCONNECTED, RequestOutcome.CLIENT_DISCONNECTED);
            runSerially(() -> module.onClientDisconnected(now(), x.id, this));
            for (RequestAttempt a : x.attempts) {
                if (a.firstByteMs != 0 && !a.ended) { // the rest of a long value is of no use to anyone
                    a.connection.giveUp(a);
                    endAttempt(a, AttemptOutcome.CANCELLED, 0, null, null);
                }
            }
            free(x);
        }
    }

    // ---- ends of attempts

    /** The one end of an attempt. An answer, where there is one, is the client's if none has come before. */
    void endAttempt(RequestAttempt a, AttemptOutcome outcome, int note, float[] report, ServerResponse answer) {
        if (a.ended) {
            if (answer != null) {
                answer.release();
            }
            return;
        }
        a.ended = true;
        a.mayHaveRun = outcome.mayHaveRun();
        stop(a.timer);
        double elapsed = (a.firstByteMs != 0 ? a.firstByteMs : now()) - a.sentMs;
        ClientRequest x = a.request;
        if (x == null) {
            runSerially(() -> module.onHealthCheckResult(now(), a.server, outcome, elapsed, report, this));
            return;
        }
        x.attemptsInFlight--;
        if (answer != null && x.isCompleted()) {
            answer.release();
        } else if (a.firstByteMs != 0 && !x.isCompleted()) {
            over(x, RequestState.ANSWERED, answer != null ? RequestOutcome.SUCCEEDED : RequestOutcome.FAILED);
            if (answer != null) {
                x.responseWriter.endValue();
            } else {
                x.responseWriter.abort();
            }
        } else if (answer != null) {
            over(x, RequestState.ANSWERED, RequestOutcome.SUCCEEDED);
            x.responseWriter.writeResponse(answer);
        }
        boolean over = x.isCompleted();
        runSerially(() -> guard(
                x,
                () -> module.onAttemptEnd(
                        now(), new AttemptEnd(x.id, a.index, a.server, outcome, elapsed, over, note, report), this)));
        free(x);
    }

    /** A long answer begins; false if the request is over or another answer has begun. */
    boolean beginStreaming(RequestAttempt a, int length) {
        ClientRequest x = a.request;
        if (a.ended || x.state() != RequestState.OPEN) {
            return false;
        }
        x.transitionTo(RequestState.STREAMING);
        a.firstByteMs = now();
        stop(x.deadlineTimer);
        stop(a.timer);
        x.responseWriter.beginValue(length, a.connection);
        runSerially(() -> module.onFirstByte(now(), x.id, a.index, a.server, this));
        for (RequestAttempt other : x.attempts) {
            if (other != a) {
                cancel(x.id, other.index);
            }
        }
        return true;
    }

    void streamPart(RequestAttempt a, ByteBuf part) {
        if (a.ended || a.request.isCompleted()) {
            part.release();
        } else {
            a.request.responseWriter.writePart(part);
        }
    }

    private void over(ClientRequest x, RequestState state, RequestOutcome ending) {
        boolean streamed = x.isStreaming();
        if (!x.transitionTo(state)) {
            rules.breached(RuleViolation.ANSWERED_TWICE, x, "it can't become " + state.key());
        }
        double lateMs = now() - x.deadlineMs;
        if (state == RequestState.ANSWERED && !streamed && lateMs > SafetyRules.FINAL_ANSWER_SLACK_MS) {
            rules.breached(RuleViolation.ANSWERED_LATE, x, Math.round(lateMs) + " ms after its time");
        }
        recordOutcome(x, ending);
    }

    private void recordOutcome(ClientRequest x, RequestOutcome ending) {
        completedRequests++;
        if (ending == RequestOutcome.SUCCEEDED && firstServedMs < 0) {
            firstServedMs = Math.round(now() - startedMs);
        }
        counters.recordOutcome(x.serviceClass.name(), ending);
        stop(x.deadlineTimer);
    }

    /** The final answer where no server gave it. */
    private void finish(ClientRequest x, RequestOutcome ending, Consumer<ResponseWriter> answer) {
        if (x.state() != RequestState.OPEN) {
            return;
        }
        over(x, RequestState.ANSWERED, ending);
        answer.accept(x.responseWriter);
        free(x);
    }

    /**
     * Nothing is sent for a request that is over, whatever the settings say of cancelling: its client has its answer or
     * has gone, and its value goes here. What still waits for a connection is taken back, as never sent.
     */
    private void free(ClientRequest x) {
        if (!x.isCompleted()) {
            return;
        }
        for (RequestAttempt a : x.attempts) {
            if (!a.ended && (a.connection == null || a.connection.takeBack(a))) {
                endAttempt(a, AttemptOutcome.NOT_SENT, 0, null, null);
            }
        }
        if (open.remove(x.command.id, x)) {
            connectionFailed.add(now(), x.command.id, idHoldMs);
        }
        x.command.release();
        if (x.attemptsInFlight == 0) {
            exchanges.remove(x.id);
        }
    }

    // ---- the module's orders

    @Override
    public void send(int request, int server, double timeoutMs) {
        ClientRequest x = exchanges.get(request);
        if (x == null || x.isCompleted()) {
            log(EventKind.INTERNAL_ERROR, "order for a request that is over");
            return;
        }
        double now = now();
        double left = x.deadlineMs - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        Upstream u = servers.get(server);
        SafetyRules.Location place = u == null ? NOWHERE : u.place;
        RequestAttempt a = new RequestAttempt(x, x.attempts.size(), server, place, now, now + wait);
        count(x, u);
        x.attempts.add(a);
        x.attemptsInFlight++;
        if (wait > 0 && wait < left) {
            a.timer = after(wait, () -> expireAttempt(a));
        }
        if (loopClock.sinceLastPollMs() > STALE_MS) {
            // Held up: its client's end or news of the server may be there unread, and is read first.
            loop.schedule(() -> send(a), 0, TimeUnit.MILLISECONDS);
        } else {
            send(a);
        }
    }

    private void send(RequestAttempt a) {
        if (a.ended) {
            return;
        }
        if (!mayBegin(a)) {
            runSerially(() -> endAttempt(a, AttemptOutcome.NOT_SENT, 0, null, null));
        } else if (!servers.get(a.server).send(a)) {
            runSerially(() -> endAttempt(a, AttemptOutcome.CONNECT_FAILED, 0, null, null));
        }
    }

    /**
     * Whether an attempt may begin at this moment; to be asked right before its bytes go out, and again where it had to
     * wait in between.
     */
    boolean mayBegin(RequestAttempt a) {
        ClientRequest x = a.request;
        Upstream u = servers.get(a.server);
        if (x == null) {
            return u != null && u.ready;
        }
        double now = now();
        Verdict verdict = SafetyRules.mayBegin(
                now,
                new SafetyRules.AttemptStart(
                        x.state(),
                        x.serviceClass,
                        Math.min(a.expiresMs, x.deadlineMs) - now,
                        u != null && u.ready,
                        a.place,
                        a.index,
                        Math.min(x.maxAttempts, settings.maxAttempts()),
                        settings.hedgingAllowed(),
                        x.attemptsExcept(a)));
        if (!verdict.allowed()) {
            rules.forbade(a, verdict);
        }
        return verdict.allowed();
    }

    /** A server is being told of this much time for the attempt. */
    void checkRemainingTime(RequestAttempt a, long remainingMs) {
        ClientRequest x = a.request;
        double left = x == null ? Double.POSITIVE_INFINITY : x.deadlineMs - now();
        if (SafetyRules.isExcessiveTimeout((double) remainingMs, left)) {
            rules.breached(
                    RuleViolation.EXCESSIVE_TIMEOUT_SENT, x, remainingMs + " ms, " + Math.round(left) + " ms are left");
        }
    }

    /** What was forbidden, and what went against a rule. */
    RuleMonitor rules() {
        return rules;
    }

    private void count(ClientRequest x, Upstream to) {
        counters.increment(Metric.ATTEMPTS);
        if (!x.attempts.isEmpty()) {
            counters.increment(x.attemptsInFlight > 0 ? Metric.HEDGES : Metric.RETRIES);
        }
        if (to != null && to.origin && !x.command.write) {
            counters.increment(Metric.ORIGIN_FETCHES);
        }
        if (to != null && !to.origin && isEjected(to.id)) {
            counters.increment(Metric.HEALTH_CHECKS);
        }
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        ClientRequest x = exchanges.get(request);
        if (x == null) {
            return;
        }
        if (x.state() == RequestState.OPEN
                && !SafetyRules.mayReject(x.serviceClass, x.attemptsExcept(null))
                        .allowed()) {
            rules.breached(RuleViolation.REJECTED_THOUGH_MAYBE_EXECUTED, x, "it is answered as failed");
            fail(request);
            return;
        }
        finish(x, RequestOutcome.REJECTED, s -> s.reject(settings.retryAfterSupported() ? retryAfterMs : 0));
    }

    @Override
    public void fail(int request) {
        ClientRequest x = exchanges.get(request);
        if (x != null) {
            finish(x, RequestOutcome.FAILED, ResponseWriter::fail);
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        ClientRequest x = exchanges.get(request);
        RequestAttempt a = x == null || attempt >= x.attempts.size() ? null : x.attempts.get(attempt);
        if (a == null || a.ended || a.firstByteMs != 0) {
            return;
        }
        // Another attempt may follow. Where second copies are forbidden this one must be over then, or it stays waited
        // for.
        if (!x.isCompleted() && !settings.hedgingAllowed() && a.connection != null && !a.connection.endsAlone()) {
            return;
        }
        if (a.connection != null) {
            a.connection.giveUp(a);
        }
        runSerially(() -> endAttempt(a, AttemptOutcome.CANCELLED, 0, null, null));
    }

    @Override
    public void setTimer(double afterMs, int token) {
        after(afterMs, () -> runSerially(() -> module.onTimer(now(), token, this)));
    }

    @Override
    public void checkHealth(int server) {
        Upstream u = servers.get(server);
        counters.increment(Metric.HEALTH_CHECKS);
        double now = now();
        RequestAttempt a = new RequestAttempt(null, 0, server, NOWHERE, now, now + PROBE_TIMEOUT_MS);
        if (u == null || !u.ready || !u.send(a)) {
            runSerially(() -> endAttempt(a, AttemptOutcome.CONNECT_FAILED, 0, null, null));
        } else {
            a.timer = after(PROBE_TIMEOUT_MS, () -> expireAttempt(a));
        }
    }

    @Override
    public void closeIdle(int server) {
        Upstream u = servers.get(server);
        if (u != null) {
            u.closeIdle(Double.MAX_VALUE);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        peers.send(peer, PeerSocket.Kind.MODULE, message);
    }

    @Override
    public void setWatch(boolean on) {
        discovery.setWatch(on);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetchSnapshot();
    }

    @Override
    public void report(int server, EndpointSignal what) {
        if (nodes != null) {
            nodes.saw(server, what);
        }
        if (zones != null) {
            zones.saw(server, what);
        }
    }

    /** A connection ends by this. That its other side has ended it is ordinary; anything else is told. */
    void connectionFailed(Throwable cause) {
        if (!(cause instanceof IOException)) {
            log(EventKind.INTERNAL_ERROR, "a connection ends by " + cause);
        }
    }

    @Override
    public void log(String line) {
        log(EventKind.INFO, line);
    }

    /** What was seen of the rules so far. */
    RuleCounts ruleCounts() {
        return rules.counts();
    }

    /** Logs an event, if there is room for one of its kind. */
    void log(EventKind kind, String what) {
        events.log(kind, what);
    }

    // ---- timers

    Timer after(double ms, Runnable task) {
        return timers.after(ms, task);
    }

    private static void stop(Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}

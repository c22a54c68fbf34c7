package cacheproxy.model;

import cacheproxy.failover.ZoneFailover;
import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.ListVersionGossip;
import cacheproxy.gossip.ListVersionGossip.Action;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.model.Rules.Rule;
import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One proxy: the production decision module and list gossip, and an executor of their actions that behaves like the
 * proxy core. It can be killed, drained and restarted. Checks each action against the rules.
 */
final class InstanceModel implements RoutingActions {
    /** Mean time after which a watch is renewed, varied by 30% either way; as in the discovery client. */
    private static final double WATCH_MS = 10_000;
    /** A final response counts as held back if nothing was in flight for this long before it, up to its deadline. */
    private static final double HELD_MS = 50;
    /** Tolerance after a deadline or a notice within which an event is still in time, as on the operators' sockets. */
    private static final double SLACK_MS = 50;
    /** Abandoned attempts close their connections at most this often, as in the proxy core. */
    private static final double CLOSES_PER_SECOND = 10;
    /** A connection whose oldest response is of an abandoned attempt sent longer ago than this is closed. */
    private static final double STALLED_MS = 2000;

    private final int me;
    private final FleetPlay play;
    private final VirtualTime time;
    private final Tally tally;
    private final Rules rules;
    private final RoutingSettings settings;
    private final SplittableRandom random;
    private final Map<Integer, Ask> asks = new HashMap<>();
    private final Map<Integer, Link> links = new TreeMap<>();
    /** When this instance was told that a node drains or is removed, by node. */
    private final Map<Integer, Double> wantedNothingMs = new HashMap<>();
    /** Start times of the nodes in its list, as this instance was told. */
    private final Map<Integer, Double> toldBornMs = new HashMap<>();

    private LoadBalancer policy;
    private ListVersionGossip news;
    private ProvisionalEndpoints membership;
    private AntiEntropy antiEntropy;
    /** Null if zone failover is off. */
    private FleetPart part;
    /** Number of the last timer set for the view; earlier timers are void. */
    private long viewWaits;

    private List<Endpoint> kept = List.of();
    private long version;
    private int life;
    private boolean up;
    private boolean draining;
    private boolean deaf;
    private double closes = CLOSES_PER_SECOND;
    private double closesAtMs;

    InstanceModel(int me, FleetPlay play, SplittableRandom random) {
        this.me = me;
        this.play = play;
        this.random = random;
        time = play.time();
        tally = play.tally();
        rules = play.rules();
        settings = play.draw().settings(me);
    }

    int zone() {
        return settings.zone();
    }

    int number() {
        return me;
    }

    /** Whether it accepts requests. */
    boolean takes() {
        return up && !draining;
    }

    boolean up() {
        return up;
    }

    long version() {
        return version;
    }

    /** Requests and connections that it holds, and what its module does. */
    int held() {
        return asks.size() + links.size() + wantedNothingMs.size();
    }

    /** Whether its list says when this node started. */
    boolean toldOfStart(NodeModel node) {
        return toldBornMs.getOrDefault(node.id, Double.NaN) == node.bornMs;
    }

    LoadBalancer policy() {
        return policy;
    }

    // ---- lifecycle

    /** Starts with the last stored list and no other state. */
    void start() {
        life++;
        up = true;
        draining = false;
        policy = play.module(settings, random.nextLong());
        news = new ListVersionGossip(settings.instanceCount(), settings.instanceSeed(random.nextLong()));
        news.start(version);
        if (kept.isEmpty()) {
            kept = play.discovery().known();
        }
        membership = new ProvisionalEndpoints(FleetDraw.ORIGIN_KIND);
        membership.reset(version, kept);
        antiEntropy = new AntiEntropy(time.now());
        wantedNothingMs.clear();
        toldBornMs.clear();
        kept.forEach(m -> toldBornMs.put(m.id(), m.startTimeMs()));
        policy.onEndpointUpdate(time.now(), EndpointUpdateKind.CACHED, kept, this);
        part = !play.leaves()
                ? null
                : new FleetPart(
                        settings,
                        random.nextLong(),
                        time,
                        (to, body) -> play.post(this, to, other -> other.heard(me, body)),
                        orders -> policy.onZoneDirectives(time.now(), orders, this));
        if (part != null) {
            part.listed(kept);
            view();
            decide();
        }
    }

    private void view() {
        long mine = ++viewWaits;
        double due = part.view();
        if (due != Double.POSITIVE_INFINITY) {
            later(Math.max(1, due - time.now()), () -> {
                if (viewWaits == mine) {
                    view();
                }
            });
        }
    }

    private void decide() {
        if (part.decide()) {
            view();
        }
        later(ZoneFailover.TICK_MS, this::decide);
    }

    private void heard(int from, byte[] body) {
        if (part != null) {
            part.heard(from, body);
            view();
        }
    }

    @Override
    public void reportSignal(int server, EndpointSignal what) {
        if (part != null) {
            boolean origin = server == FleetDraw.ORIGIN;
            int zone = origin ? 0 : play.zoneOf(server);
            if (zone >= 0) {
                part.saw(zone, server, origin, what);
            }
        }
    }

    /** Crashes. Clients have to retry its open requests; its connections are reset. */
    void kill() {
        life++;
        up = false;
        kept = play.discovery().known();
        play.discovery().leave(me);
        asks.values().stream().filter(a -> !a.over).forEach(a -> tally.add(time.now(), Figure.ABANDONED));
        asks.clear();
        List.copyOf(links.values()).forEach(Link::close);
        links.clear();
    }

    /** Drains: accepts nothing new, answers open requests, and ends when the longest deadline has passed. */
    void retire(Runnable ended) {
        draining = true;
        later(play.longestDeadlineMs() + 2 * SLACK_MS, () -> {
            for (Ask a : asks.values()) {
                if (!a.over) {
                    rules.broken(Rule.NO_REQUEST_LOST, time.now(), name(a) + " was open as the process ended in order");
                }
            }
            kill();
            ended.run();
        });
    }

    /** Cuts messages between it and its peers, or allows them again. */
    void deaf(boolean on) {
        deaf = on;
    }

    /** Schedules an action that is dropped if the process has ended by then. */
    private void later(double ms, Runnable what) {
        int mine = life;
        time.after(ms, () -> {
            if (mine == life) {
                what.run();
            }
        });
    }

    private String name(Ask a) {
        return "request " + a.request.id() + " (" + a.kind.name() + ") at instance " + me;
    }

    // ---- requests

    /** Accepts a request; from now on it owes exactly one final response in time. */
    void take(Ask ask) {
        asks.put(ask.request.id(), ask);
        ask.idleSinceMs = time.now();
        tally.add(time.now(), Figure.REQUESTS);
        double left = ask.request.deadlineMs() - time.now();
        later(
                left,
                () -> { // runs before the module's timer, so an attempt at an unresponsive server ends as a timeout
                    for (int i = 0; i < ask.attempts.size() && !ask.over; i++) {
                        expire(ask.attempts.get(i));
                    }
                });
        later(left + SLACK_MS, () -> {
            if (!ask.over) {
                rules.broken(Rule.NO_REQUEST_LOST, time.now(), name(ask) + " had no answer in time");
            }
        });
        policy.onRequest(time.now(), ask.request, this);
    }

    /** The client no longer waits. */
    void leave(Ask ask) {
        if (up && !ask.over && asks.get(ask.request.id()) == ask) {
            over(ask);
            policy.onClientDisconnected(time.now(), ask.request.id(), this);
        }
    }

    private void over(Ask ask) {
        ask.over = true;
        if (ask.out == 0) {
            asks.remove(ask.request.id());
        }
    }

    private void answer(Ask ask, Ask.Answer answer, double retryAfterMs) {
        if (ask == null || ask.over) {
            rules.broken(
                    Rule.NO_REQUEST_LOST, time.now(), "a second answer to " + (ask == null ? "a request" : name(ask)));
            return;
        }
        if (answer != Ask.Answer.SERVED
                && ask.out == 0
                && time.now() - ask.idleSinceMs > HELD_MS
                && time.now() >= ask.request.deadlineMs() - 1) {
            tally.add(time.now(), Figure.HELD_BACK);
        }
        ask.answer = answer;
        over(ask);
        tally.add(
                time.now(),
                switch (answer) {
                    case SERVED -> Figure.SERVED;
                    case REFUSED -> Figure.REFUSED;
                    case FAILED -> Figure.FAILED;
                });
        ask.client.answered(ask, answer, retryAfterMs);
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        Ask ask = asks.get(request);
        if (ask != null
                && ask.kind.idempotency() != Idempotency.IDEMPOTENT
                && ask.attempts.stream().anyMatch(a -> !a.neverRan)) {
            rules.broken(Rule.NO_EFFECT_TWICE, time.now(), name(ask) + " was refused and may have run");
        }
        answer(ask, Ask.Answer.REFUSED, retryAfterMs);
    }

    @Override
    public void fail(int request) {
        answer(asks.get(request), Ask.Answer.FAILED, 0);
    }

    // ---- attempts

    @Override
    public void send(int request, int server, double timeoutMs) {
        Ask ask = asks.get(request);
        if (ask == null || ask.over) {
            rules.broken(
                    Rule.NO_REQUEST_LOST,
                    time.now(),
                    "something is sent for a request that is over, at instance " + me);
            return;
        }
        holdAgainstRules(ask, server);
        Attempt a = new Attempt(ask, ask.attempts.size(), server, time.now());
        tally.add(time.now(), Figure.ATTEMPTS);
        if (ask.out > 0) {
            tally.add(time.now(), Figure.SECOND_COPIES);
        }
        ask.attempts.add(a);
        ask.out++;
        double left = ask.request.deadlineMs() - time.now();
        if (timeoutMs > 0 && timeoutMs < left) {
            later(timeoutMs, () -> expire(a));
        }
        if (server == FleetDraw.ORIGIN) {
            fetch(a);
        } else {
            send(a);
        }
    }

    private void holdAgainstRules(Ask ask, int server) {
        if (ask.attempts.size() >= settings.maxAttempts()) {
            rules.broken(Rule.NO_EFFECT_TWICE, time.now(), name(ask) + " is tried a time too often");
        }
        Double told = wantedNothingMs.get(server);
        if (told != null && time.now() > told + settings.drainGraceMs() + SLACK_MS) {
            rules.broken(
                    Rule.DRAINS_KEPT,
                    time.now(),
                    name(ask) + " goes to node " + server + ", told of " + Math.round(time.now() - told) + " ms ago");
        }
        for (Attempt a : ask.attempts) {
            if (a.neverRan || ask.kind.idempotency() == Idempotency.IDEMPOTENT) {
                continue;
            }
            if (ask.kind.idempotency() == Idempotency.NON_IDEMPOTENT
                    || time.now() > a.sentMs + ask.kind.deduplicationWindowMs() + SLACK_MS) {
                rules.broken(Rule.NO_EFFECT_TWICE, time.now(), name(ask) + " is sent again and may have run");
            }
        }
    }

    private void send(Attempt a) {
        NodeModel node = play.node(a.server);
        if (node == null || node.gone()) {
            later(2 * play.network().delayMs(zone(), zone()), () -> ended(a, AttemptOutcome.CONNECT_FAILED));
            return;
        }
        Link link = links.get(a.server);
        if (link == null || !link.usable() || link.node() != node) {
            if (!node.answers() || !play.network().passes(zone(), node.zone)) {
                later(settings.connectTimeoutMs(), () -> ended(a, AttemptOutcome.CONNECT_FAILED));
                return;
            }
            link = new Link(this, node, time, play.network());
            if (!node.accept(link)) {
                tally.add(time.now(), Figure.NO_PLACE);
                later(4 * play.network().delayMs(zone(), node.zone), () -> ended(a, AttemptOutcome.CONNECTION_LIMIT));
                return;
            }
            tally.add(time.now(), Figure.CONNECTIONS);
            links.put(a.server, link);
        }
        link.send(a);
    }

    private void fetch(Attempt a) {
        if (!play.network().passes(zone(), OriginModel.ZONE)) {
            return; // ended by the timeout or by the module
        }
        double delay = play.network().delayMs(zone(), OriginModel.ZONE);
        time.after(
                delay,
                () -> play.origin().take(a, done -> {
                    if (done) {
                        play.stored(a);
                    }
                    time.after(delay, () -> {
                        if (play.network().passes(zone(), OriginModel.ZONE)) {
                            ended(a, done ? AttemptOutcome.OK : AttemptOutcome.REJECTED);
                        }
                    });
                }));
    }

    private void expire(Attempt a) {
        if (!a.ended) {
            tally.add(time.now(), Figure.TIMED_OUT);
            ended(a, AttemptOutcome.TIMEOUT);
            gaveUp(a);
        }
    }

    private void gaveUp(Attempt a) {
        closes = Math.min(CLOSES_PER_SECOND, closes + (time.now() - closesAtMs) / 1000 * CLOSES_PER_SECOND);
        closesAtMs = time.now();
        if (a.link != null && closes >= 1) {
            closes--;
            a.link.gaveUp();
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        Ask ask = asks.get(request);
        if (ask != null && attempt < ask.attempts.size()) {
            Attempt a = ask.attempts.get(attempt);
            later(
                    0,
                    () -> { // not reentrantly within the module's call
                        if (!a.ended) {
                            ended(a, AttemptOutcome.CANCELLED);
                            gaveUp(a);
                        }
                    });
        }
    }

    /** The single end of an attempt; ignored if an earlier process of the instance started it. */
    void ended(Attempt a, AttemptOutcome outcome) {
        Ask ask = a.ask;
        if (a.ended || asks.get(ask.request.id()) != ask) {
            return;
        }
        a.ended = true;
        a.neverRan = !outcome.mayHaveRun();
        a.missed = outcome == AttemptOutcome.MISS;
        if (--ask.out == 0) {
            ask.idleSinceMs = time.now();
        }
        if (outcome == AttemptOutcome.RESET) {
            tally.add(time.now(), Figure.RESETS);
        }
        if (outcome == AttemptOutcome.OK && !ask.over) {
            answer(ask, Ask.Answer.SERVED, 0);
        } else if (ask.over && ask.out == 0) {
            asks.remove(ask.request.id());
        }
        policy.onAttemptEnd(
                time.now(),
                new AttemptEnd(ask.request.id(), a.index, a.server, outcome, time.now() - a.sentMs, ask.over, 0, null),
                this);
    }

    void closed(Link link) {
        links.remove(link.node().id, link);
    }

    /** Closes connections that have been idle for long or still owe the response of an abandoned attempt. */
    void sweep() {
        links.values().stream()
                .filter(l -> l.stalledSince(time.now() - STALLED_MS))
                .toList()
                .forEach(Link::reset);
        links.values().stream()
                .filter(l -> l.idleSince(time.now() - FleetDraw.IDLE_CLOSE_MS))
                .toList()
                .forEach(Link::close);
    }

    // ---- endpoint list and its gossip

    @Override
    public void setWatch(boolean on) {
        call();
    }

    @Override
    public void fetchEndpointList() {
        call();
    }

    private void call() {
        int mine = life;
        play.discovery().call(me, new DiscoveryModel.Watcher() {
            @Override
            public void list(long told, boolean whole, List<Endpoint> members) {
                if (mine == life) {
                    listed(told, whole, members);
                    if (whole) {
                        later(WATCH_MS * (0.7 + 0.6 * random.nextDouble()), InstanceModel.this::call);
                    }
                }
            }

            @Override
            public void failed() {
                if (mine == life) {
                    policy.onEndpointUpdate(time.now(), EndpointUpdateKind.FAILED, List.of(), InstanceModel.this);
                    alert();
                }
            }
        });
    }

    private void listed(long told, boolean whole, List<Endpoint> members) {
        version = Math.max(version, told);
        Set<Integer> named = new HashSet<>();
        for (Endpoint m : members) {
            named.add(m.id());
            toldBornMs.put(m.id(), m.startTimeMs());
            if (m.state() == EndpointState.READY) {
                wantedNothingMs.remove(m.id());
            } else {
                wantedNothingMs.putIfAbsent(m.id(), time.now());
            }
        }
        for (Link link : List.copyOf(links.values())) {
            if (whole ? !named.contains(link.node().id) : wantedNothingMs.containsKey(link.node().id)) {
                link.retire();
            }
        }
        wantedNothingMs.values().removeIf(at -> time.now() - at > 10 * settings.drainGraceMs());
        policy.onEndpointUpdate(
                time.now(),
                whole ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA,
                membership.onDiscoveryUpdate(time.now(), told, whole, members),
                this);
        if (part != null) {
            part.listed(play.discovery().known());
        }
        carryOut(news.onVersionApplied(time.now(), version));
    }

    private void carryOut(Action order) {
        switch (order) {
            case ANNOUNCE -> {
                EndpointListDelta update = membership.recentChanges();
                play.tell(this, peer -> peer.heard(update));
            }
            case POLL_DISCOVERY -> alert();
            case NONE, WAIT -> {}
        }
        if (order != Action.NONE && news.nextTimerMs() != Double.POSITIVE_INFINITY) {
            later(Math.max(0.01, news.nextTimerMs() - time.now()), () -> carryOut(news.onTimer(time.now())));
        }
    }

    /** A peer passes on a change that discovery told it. */
    private void heard(EndpointListDelta update) {
        List<Endpoint> changed = membership.onPeerUpdate(time.now(), update);
        if (!changed.isEmpty()) {
            policy.onEndpointUpdate(time.now(), EndpointUpdateKind.PROVISIONAL, changed, this);
        }
        carryOut(news.onPeerVersion(time.now(), update.version()));
    }

    /** Asks a random peer for changes that are not known here. */
    private void alert() {
        if (settings.instanceCount() < 2 || !antiEntropy.tryStartQuery(time.now())) {
            return;
        }
        long known = membership.knownVersion();
        play.post(
                this,
                AntiEntropy.randomPeer(random, me, settings.instanceCount()),
                peer -> peer.membership
                        .changesSince(time.now(), known)
                        .forEach(u -> play.post(peer, me, asker -> asker.heard(u))));
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        play.tell(this, other -> {
            if (peer < 0 || peer == other.me) {
                other.policy.onPeerMessage(time.now(), me, message, other);
            }
        });
    }

    /** Whether messages from {@code other} reach it. */
    boolean hears(InstanceModel other) {
        return up && !deaf && !other.deaf && play.network().passes(zone(), other.zone());
    }

    // ---- the rest

    @Override
    public void setTimer(double afterMs, int token) {
        later(afterMs, () -> policy.onTimer(time.now(), token, this));
    }

    @Override
    public void checkHealth(int server) {}

    @Override
    public void closeIdle(int server) {
        Link link = links.get(server);
        if (link != null && link.idleSince(Double.POSITIVE_INFINITY)) {
            link.close();
        }
    }

    @Override
    public void log(String line) {}
}

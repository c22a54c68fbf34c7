package cacheproxy.route;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import cacheproxy.routing.Tenant;
import cacheproxy.routing.ZoneDirective;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One decision module a pool, and the routes that choose between them. To the dispatcher it is the decision module: it
 * is told of the same events and gives the same orders. To each pool's module it is the dispatcher: what a policy
 * forbids comes back to the module as an attempt that was not sent, so that the module goes on as it would anyway.
 *
 * <p>Attempts and rules count over both pools of a route. A request goes over to its fallback only when it is owed an
 * answer, nothing of it is out, and it has been tried in the first pool or that has no server; one that is not safe to
 * repeat only if no attempt of it may have run. A server that is in several pools is known to each of their modules,
 * and what it is told, to drain or that it is cold, holds in each.
 */
public final class Router implements LoadBalancer {
    /** A pool with its module. */
    private final class Lane {
        final String name;
        final CarpLoadBalancer module;
        Pool pool;
        /** Requests that it has now. */
        int open;
        /** Those that it has or may yet be given: while there are any it must go on hearing of the list. */
        int reachable;

        boolean leaving;
        /** The servers in it, with whether each may be sent anything. */
        final Map<Integer, Boolean> ready = new HashMap<>();

        Lane(Pool pool, long seed) {
            this.pool = pool;
            name = pool.name();
            module = new CarpLoadBalancer(settings, seed);
            module.onZoneDirectives(0, List.copyOf(zones.values()), null);
        }

        boolean serves() {
            return ready.containsValue(true);
        }

        Orders orders(double now, RoutingActions out) {
            return new Orders(this, now, out);
        }
    }

    /** A policy with what it has counted. */
    private static final class Limits {
        final RoutePolicy policy;
        final RetryBudget budget;
        int open;

        Limits(RoutePolicy policy) {
            this.policy = policy;
            budget = new RetryBudget(policy.retryRatio(), policy.minRetriesPerSecond());
        }
    }

    /** A route with what it leads to. */
    private static final class Way {
        final Route route;
        final Lane lane;
        final Lane fallback;
        final Limits limits;
        long requests;
        long fallbacks;
        long turnedAway;
        long heldBack;

        Way(Route route, Lane lane, Lane fallback, Limits limits) {
            this.route = route;
            this.lane = lane;
            this.fallback = fallback;
            this.limits = limits;
        }

        void reach(int change) {
            lane.reachable += change;
            if (fallback != null) {
                fallback.reachable += change;
            }
        }
    }

    /** An open request. Its attempts are numbered by the dispatcher over all, and by each lane's module from 0. */
    private static final class Journey {
        final Request request;
        final Way way;
        final boolean safe;
        Lane lane;
        /** Attempts that the present lane's module has ordered, sent or not. */
        int ordered;
        /** By the dispatcher's number: whose attempt it was, and its number there. */
        final List<Lane> lanes = new ArrayList<>(3);

        final List<Integer> numbers = new ArrayList<>(3);
        int out;
        /** Attempts that count against the policy. */
        int tries;
        /** The last attempt to end found nothing. */
        boolean missed;
        /** One has ended without an answer of use. */
        boolean failed;

        boolean mayHaveRun;
        boolean fellBack;
        boolean over;

        Journey(Request request, Way way, boolean safe) {
            this.request = request;
            this.way = way;
            this.safe = safe;
            lane = way.lane;
        }
    }

    private record Due(Lane lane, int token) {}

    private final long seed;
    private final Map<Integer, EndpointAttributes> described = new HashMap<>();
    private final Map<Integer, Endpoint> members = new LinkedHashMap<>();
    private final Map<Integer, Journey> journeys = new HashMap<>();
    private final Map<Integer, Due> timers = new HashMap<>();
    private final Map<Integer, Set<Lane>> probing = new HashMap<>();
    /** How far the fleet has zones open; what is made anew is told of it. */
    private final Map<Integer, ZoneDirective> zones = new HashMap<>();

    private final ArrayDeque<Consumer<RoutingActions>> later = new ArrayDeque<>();
    /** Those in use and those that still have open requests. */
    private final List<Lane> lanes = new ArrayList<>();

    private final Lane all;
    private final Way anyWay;
    private RoutingSettings settings;
    private Routing routing;
    private RouteTable.Matcher matcher;
    /** How many routings there have been. */
    private int version;
    /** By the route itself: its table gives the same ones, and hashing all that it says is more than a match. */
    private IdentityHashMap<Route, Way> ways = new IdentityHashMap<>();

    private int nextToken;

    /** Begins with these routes; requests that none matches go to all servers by the settings. */
    public Router(RoutingSettings settings, long seed, Routing routing) {
        this.settings = settings;
        this.seed = seed;
        all = new Lane(Pool.ALL, seed);
        lanes.add(all);
        anyWay = new Way(
                new Route("", null, Set.of(), Set.of(), Set.of(), "", null, null),
                all,
                null,
                new Limits(RoutePolicy.UNLIMITED));
        replace(routing);
    }

    // ---- the routes

    /**
     * Takes other routes at once and whole. Open requests go on under those they began with; a pool that is not named
     * any more serves these and then ends.
     */
    public void replace(double now, Routing next, RoutingActions out) {
        replace(next);
        for (Lane lane : List.copyOf(lanes)) {
            select(now, lane, EndpointUpdateKind.SNAPSHOT, List.copyOf(members.values()), out);
        }
        drain(out);
    }

    private void replace(Routing next) {
        Map<String, Lane> named = new HashMap<>();
        for (Lane lane : lanes) {
            if (lane != all && !lane.leaving) {
                named.put(lane.name, lane);
            }
        }
        Map<String, Lane> used = new HashMap<>();
        for (Pool pool : next.pools().values()) {
            Lane lane = named.remove(pool.name());
            if (lane == null) {
                // By its name, so that instances draw apart and pools too.
                lane = new Lane(pool, seed ^ pool.name().hashCode() * 0x9e3779b97f4a7c15L);
                lanes.add(lane);
            }
            lane.pool = pool;
            used.put(pool.name(), lane);
        }
        named.values().forEach(lane -> lane.leaving = true);
        Map<String, Limits> limits = new HashMap<>();
        ways.values().forEach(w -> limits.putIfAbsent(w.limits.policy.name(), w.limits));
        limits.values().removeIf(l -> !l.policy.equals(next.policies().get(l.policy.name())));
        next.policies().values().forEach(p -> limits.putIfAbsent(p.name(), new Limits(p)));
        ways = new IdentityHashMap<>();
        for (Route r : next.routes()) {
            ways.put(
                    r,
                    new Way(
                            r,
                            used.get(r.pool()),
                            r.fallback() == null ? null : used.get(r.fallback()),
                            r.policy() == null ? anyWay.limits : limits.get(r.policy())));
        }
        routing = next;
        bind();
        version++;
        lanes.removeIf(lane -> lane.leaving && lane.reachable == 0);
    }

    /** Gives the names in the routes their indices in the settings. */
    private void bind() {
        matcher = routing.table()
                .matcher(
                        settings.tenants().stream().map(Tenant::name).toList(),
                        settings.classes().stream().map(ServiceClass::name).toList(),
                        Routing.FRONTS);
    }

    @Override
    public void onSettings(double now, RoutingSettings next, RoutingActions out) {
        for (Lane lane : List.copyOf(lanes)) {
            lane.module.onSettings(now, next, lane.orders(now, out));
        }
        settings = next;
        bind();
        drain(out);
    }

    @Override
    public Map<String, LearnedState> learnedState(double now) {
        Map<String, LearnedState> learnt = new HashMap<>();
        lanes.stream()
                .filter(l -> !l.leaving)
                .forEach(l -> learnt.put(l.name, l.module.learnedState(now).get("")));
        return learnt;
    }

    @Override
    public void resume(double now, Map<String, LearnedState> learnt) {
        for (Lane lane : lanes) {
            if (learnt.containsKey(lane.name)) {
                lane.module.resume(now, Map.of("", learnt.get(lane.name)));
            }
        }
    }

    /** A server that one pool still uses is not avoided. */
    @Override
    public boolean isAvoided(double now, int server) {
        boolean listed = false;
        for (Lane lane : lanes) {
            if (lane.ready.containsKey(server)) {
                listed = true;
                if (!lane.module.isAvoided(now, server)) {
                    return false;
                }
            }
        }
        return listed;
    }

    /** What holds now. */
    public Routing routing() {
        return routing;
    }

    /** Counts what has held, from 1. */
    public int version() {
        return version;
    }

    /** The pools, that of all servers first. */
    public List<PoolStatus> pools() {
        return lanes.stream()
                .map(l -> new PoolStatus(
                        l.name, (int) l.ready.values().stream().filter(r -> r).count(), l.open, l.leaving))
                .toList();
    }

    /** The routes, that of requests which no route matches last. */
    public List<RouteStatus> routes() {
        List<RouteStatus> told = new ArrayList<>();
        routing.routes().forEach(r -> told.add(status(ways.get(r))));
        told.add(status(anyWay));
        return told;
    }

    /** Requests that are remembered: those without an answer, and those whose attempts have not all ended. */
    int openRequests() {
        return journeys.size();
    }

    private static RouteStatus status(Way w) {
        return new RouteStatus(w.route.name(), w.requests, w.fallbacks, w.turnedAway, w.heldBack);
    }

    // ---- the list

    /** Tells what pools select a server by, before the list event that names it. */
    public void updateAttributes(int id, EndpointAttributes server) {
        described.put(id, server);
    }

    @Override
    public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> changes, RoutingActions out) {
        if (kind != EndpointUpdateKind.FAILED) {
            if (kind.isSnapshot()) {
                members.clear();
            }
            for (Endpoint m : changes) {
                if (m.state() == EndpointState.REMOVED) {
                    members.remove(m.id());
                } else {
                    members.put(m.id(), m);
                }
            }
            described.keySet().retainAll(members.keySet());
        }
        for (Lane lane : List.copyOf(lanes)) {
            if (kind != EndpointUpdateKind.FAILED || lane == all) { // the one that asks for the list
                select(now, lane, kind, changes, out);
            }
        }
        drain(out);
    }

    /** Hands a lane what of the list is its own; what it had and has no more is gone for it. */
    private void select(double now, Lane lane, EndpointUpdateKind kind, List<Endpoint> changes, RoutingActions out) {
        List<Endpoint> own = new ArrayList<>();
        for (Endpoint m : changes) {
            EndpointAttributes s = described.get(m.id());
            if (s != null && (lane == all || (origin(m) ? lane.pool.origin() : lane.pool.selects(s)))) {
                own.add(with(m, m.state(), lane.pool.weight(s, m.weight())));
            } else if (lane == all || origin(m) || lane.ready.containsKey(m.id())) {
                own.add(with(m, EndpointState.REMOVED, m.weight()));
            }
        }
        if (kind.isSnapshot()) {
            lane.ready.clear();
        }
        for (Endpoint m : own) {
            if (m.state() == EndpointState.REMOVED) {
                lane.ready.remove(m.id());
            } else if (!origin(m)) {
                lane.ready.put(m.id(), m.state() == EndpointState.READY);
            }
        }
        lane.module.onEndpointUpdate(
                now,
                kind == EndpointUpdateKind.CACHED && lane != all ? EndpointUpdateKind.SNAPSHOT : kind,
                own,
                lane.orders(now, out));
    }

    private boolean origin(Endpoint m) {
        return settings.cacheAside() && m.kind() == settings.originKind();
    }

    private static Endpoint with(Endpoint m, EndpointState state, float weight) {
        return state == m.state() && weight == m.weight()
                ? m
                : new Endpoint(
                        m.id(), m.zone(), m.kind(), m.cell(), state, weight, m.startTimeMs(), m.localStartTimeMs());
    }

    // ---- requests

    /** A request without the text of its key, so that only routes for any key can match. */
    @Override
    public void onRequest(double now, Request request, RoutingActions out) {
        onRequest(now, request, "", Routing.META_FRONT, out);
    }

    /** A client's request with its key's text and its front's index in {@link Routing#FRONTS}. */
    public void onRequest(double now, Request request, CharSequence key, int front, RoutingActions out) {
        Route route =
                matcher.match(key, settings.tenants().isEmpty() ? -1 : request.tenant(), request.serviceClass(), front);
        Way way = route == null ? anyWay : ways.get(route);
        way.requests++;
        Limits limits = way.limits;
        RoutePolicy policy = limits.policy;
        if (policy.rejects(request.write()) || limits.open >= policy.maxOpenRequests()) {
            way.turnedAway++;
            out.reject(request.id(), policy.retryAfterMs());
            return;
        }
        limits.budget.onRequest(now);
        double due = Math.min(request.deadlineMs(), now + policy.deadlineMs());
        Request own = due == request.deadlineMs()
                ? request
                : new Request(
                        request.id(),
                        request.serviceClass(),
                        request.tenant(),
                        request.key(),
                        due,
                        request.costMs(),
                        request.bytes(),
                        request.write(),
                        request.clientRetry());
        Journey j = new Journey(
                own, way, settings.classes().get(request.serviceClass()).idempotency() == Idempotency.IDEMPOTENT);
        journeys.put(request.id(), j);
        limits.open++;
        j.lane.open++;
        way.reach(1);
        if (!j.lane.serves() && mayFallBack(now, j)) {
            fallBack(now, j, out);
        } else {
            enter(now, j, out);
        }
        drain(out);
    }

    private void enter(double now, Journey j, RoutingActions out) {
        Lane lane = j.lane;
        guarded(j, () -> lane.module.onRequest(now, j.request, lane.orders(now, out)));
    }

    /** The dispatcher answers a request that a module fails on, and does not tell of it. */
    private void guarded(Journey j, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            over(j);
            throw e;
        }
    }

    private boolean mayFallBack(double now, Journey j) {
        return j.way.fallback != null
                && !j.fellBack
                && !j.over
                && j.out == 0
                && now < j.request.deadlineMs()
                && (j.safe || !j.mayHaveRun)
                && j.tries < j.way.limits.policy.maxAttempts()
                && j.lanes.size() < settings.maxAttempts();
    }

    private void fallBack(double now, Journey j, RoutingActions out) {
        j.fellBack = true;
        j.way.fallbacks++;
        j.lane.open--;
        j.lane = j.way.fallback;
        j.lane.open++;
        j.ordered = 0;
        enter(now, j, out);
    }

    /** The request has had its final answer, or nobody waits for one. */
    private void over(Journey j) {
        if (!j.over) {
            j.over = true;
            j.way.limits.open--;
            j.lane.open--;
            j.way.reach(-1);
            lanes.removeIf(lane -> lane.leaving && lane.reachable == 0);
        }
        if (j.out == 0) {
            journeys.remove(j.request.id());
        }
    }

    @Override
    public void onFirstByte(double now, int request, int attempt, int server, RoutingActions out) {
        Journey j = journeys.get(request);
        if (j != null && attempt < j.lanes.size()) {
            Lane lane = j.lanes.get(attempt);
            lane.module.onFirstByte(now, request, j.numbers.get(attempt), server, lane.orders(now, out));
        }
        drain(out);
    }

    @Override
    public void onAttemptEnd(double now, AttemptEnd end, RoutingActions out) {
        Journey j = journeys.get(end.requestId());
        if (j == null || end.attemptIndex() >= j.lanes.size()) {
            return;
        }
        Lane lane = j.lanes.get(end.attemptIndex());
        j.out--;
        j.mayHaveRun |= end.outcome().mayHaveRun();
        AttemptEnd own = new AttemptEnd(
                end.requestId(),
                j.numbers.get(end.attemptIndex()),
                end.endpointId(),
                end.outcome(),
                end.elapsedMs(),
                end.requestCompleted(),
                end.note(),
                end.report());
        j.missed = end.outcome() == AttemptOutcome.MISS;
        j.failed |= switch (end.outcome()) {
            case REJECTED, TIMEOUT, CONNECT_FAILED, RESET, NOT_SENT, CONNECTION_LIMIT -> true;
            default -> false;
        };
        guarded(j, () -> lane.module.onAttemptEnd(now, own, lane.orders(now, out)));
        if (end.requestCompleted() || j.over) {
            over(j);
        }
        drain(out);
    }

    @Override
    public void onClientDisconnected(double now, int request, RoutingActions out) {
        Journey j = journeys.get(request);
        if (j != null) {
            Lane lane = j.lane;
            lane.module.onClientDisconnected(now, request, lane.orders(now, out));
            over(j);
        }
        drain(out);
    }

    @Override
    public void onTimer(double now, int token, RoutingActions out) {
        Due due = timers.remove(token);
        if (due != null) {
            due.lane().module.onTimer(now, due.token(), due.lane().orders(now, out));
        }
        drain(out);
    }

    @Override
    public void onHealthCheckResult(
            double now, int server, AttemptOutcome outcome, double elapsedMs, float[] report, RoutingActions out) {
        Set<Lane> asked = probing.remove(server);
        if (asked != null) {
            asked.forEach(lane ->
                    lane.module.onHealthCheckResult(now, server, outcome, elapsedMs, report, lane.orders(now, out)));
        }
        drain(out);
    }

    @Override
    public void onPeerMessage(double now, int peer, byte[] message, RoutingActions out) {
        all.module.onPeerMessage(now, peer, message, all.orders(now, out));
        drain(out);
    }

    @Override
    public void onZoneDirectives(double now, List<ZoneDirective> orders, RoutingActions out) {
        orders.forEach(o -> zones.put(o.zone(), new ZoneDirective(o.zone(), o.trafficFraction(), false, false)));
        lanes.forEach(lane -> lane.module.onZoneDirectives(now, orders, lane.orders(now, out)));
        drain(out);
    }

    // ---- orders of the modules

    /** Carries out what could not be done within a module's own order, as that is not to be called from there. */
    private void drain(RoutingActions out) {
        for (Consumer<RoutingActions> next; (next = later.poll()) != null; ) {
            next.accept(out);
        }
    }

    /** What the module of one pool orders at one time. */
    private final class Orders implements RoutingActions {
        private final Lane lane;
        private final double now;
        private final RoutingActions out;

        Orders(Lane lane, double now, RoutingActions out) {
            this.lane = lane;
            this.now = now;
            this.out = out;
        }

        @Override
        public void send(int request, int server, double timeoutMs) {
            Journey j = journeys.get(request);
            int number = j.ordered++;
            if (!may(j, server)) {
                j.way.heldBack++;
                AttemptEnd end = new AttemptEnd(request, number, server, AttemptOutcome.NOT_SENT, 0, false, 0, null);
                later.add(o -> guarded(j, () -> lane.module.onAttemptEnd(now, end, lane.orders(now, o))));
                return;
            }
            j.tries += j.missed ? 0 : 1;
            j.missed = false;
            j.lanes.add(lane);
            j.numbers.add(number);
            j.out++;
            out.send(request, server, timeoutMs);
        }

        /** Asking the origin for what a server lacks is no further attempt; anything else after the first is. */
        private boolean may(Journey j, int server) {
            Limits limits = j.way.limits;
            if (j.fellBack && cold(server)) {
                return false; // what another pool could not serve is what pushes a cold server over
            }
            if (j.missed || j.tries == 0) {
                return true;
            }
            return j.tries < limits.policy.maxAttempts()
                    && (limits.policy.hedgingAllowed() || j.out == 0)
                    && limits.budget.tryTake(now);
        }

        private boolean cold(int server) {
            Endpoint m = members.get(server);
            return m != null && m.startTimeMs() != 0 && now - m.localStartTimeMs() < settings.warmUpMs();
        }

        @Override
        public void reject(int request, double retryAfterMs) {
            Journey j = journeys.get(request);
            if (j != null && (j.failed || !lane.serves()) && mayFallBack(now, j)) {
                later.add(o -> fallBack(now, j, o));
            } else {
                if (j != null) {
                    over(j);
                }
                out.reject(request, retryAfterMs);
            }
        }

        @Override
        public void fail(int request) {
            Journey j = journeys.get(request);
            if (j != null) {
                over(j);
            }
            out.fail(request);
        }

        @Override
        public void cancel(int request, int attempt) {
            Journey j = journeys.get(request);
            for (int i = 0; j != null && i < j.lanes.size(); i++) {
                if (j.lanes.get(i) == lane && j.numbers.get(i) == attempt) {
                    out.cancel(request, i);
                    return;
                }
            }
        }

        @Override
        public void setTimer(double afterMs, int token) {
            timers.put(++nextToken, new Due(lane, token));
            out.setTimer(afterMs, nextToken);
        }

        @Override
        public void checkHealth(int server) {
            Set<Lane> asking = probing.computeIfAbsent(server, k -> new HashSet<>());
            if (asking.isEmpty()) {
                out.checkHealth(server);
            }
            asking.add(lane);
        }

        @Override
        public void closeIdle(int server) {
            out.closeIdle(server);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            out.sendToPeer(peer, message);
        }

        /** The list is one for all pools, and the module of all servers looks after it. */
        @Override
        public void setWatch(boolean on) {
            if (lane == all) {
                out.setWatch(on);
            }
        }

        @Override
        public void fetchEndpointList() {
            if (lane == all) {
                out.fetchEndpointList();
            }
        }

        @Override
        public void report(int server, EndpointSignal what) {
            out.report(server, what);
        }

        @Override
        public void log(String line) {
            out.log(lane == all ? line : "pool " + lane.name + ": " + line);
        }
    }
}

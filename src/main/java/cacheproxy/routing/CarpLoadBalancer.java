package cacheproxy.routing;

import cacheproxy.gossip.PeerMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The decisions of one balancer instance. Events: {@link LoadBalancer}; orders: {@link RoutingActions}; hashes and
 * ranking: {@link CarpHash}. CARP's top score takes each request; what departs from it says at its place when it acts
 * and what it guards.
 */
@SuppressWarnings("OperatorPrecedence") // && binds before ||; parentheses follow as lines are touched
public final class CarpLoadBalancer implements LoadBalancer {
    private static final int DUE = 0, PATIENCE = 1, AGAIN = 2, WATCH = 3;
    private static final int CACHE_TRIES = 2;
    private static final double DOUBT_SHARE = 0.05;
    private static final double DOUBT_SAVED = 5;
    /** Of what makes a cold server fall over, more than its part may reach it for want of other servers. */
    private static final double COLD_ROOM = 0.5;
    /** In so many warm-ups a fleet that has shrunk counts as the usual one by half. */
    private static final double USUAL_WARM_UPS = 4;

    private static final int RANKS = 8;
    private static final int SHUN_CONNECTS = 10;
    private static final int MAX_TURNED_AWAY = 4;

    private static final int ALL_PEERS = -1;
    /** Who was answered within so many connect time-outs, 20 s here, still has the connection. */
    private static final int HELD_CONNECTS = 200;

    private final SplittableRandom random;
    private final Map<Integer, Server> servers = new HashMap<>();
    private final Map<Integer, Flight> flights = new HashMap<>();
    private final Map<Integer, Flight> timers = new HashMap<>();
    private final Map<Long, Flight> fetches = new HashMap<>();
    private final ZoneCircuitBreaker zones = new ZoneCircuitBreaker();
    private final CircuitBreaker originBreaker = new CircuitBreaker();
    private final HotKeys hotKeys = new HotKeys();
    private final AdaptiveThrottle originThrottle = new AdaptiveThrottle();
    private final AdaptiveThrottle endpointThrottle = new AdaptiveThrottle();
    private RoutingSettings cfg;
    private FairShares shares;
    private Server[] ranked = new Server[0];
    private Server[] top = new Server[RANKS];
    private double[] topScore = new double[RANKS];
    private int topCount;
    private Server origin;
    private LatencyEstimates latency;
    private final DecayingCounter reads = new DecayingCounter();
    /** What the fleet is asked to read over what its servers can do, as far as this instance can tell. */
    private double offered;

    /** What the list's servers are together, and what they usually are; the latter fades to the former. */
    private double weight;

    private final DecayingCounter usualWeight = new DecayingCounter();
    private double doubts = DOUBT_SAVED;
    private double trials = 1;
    private int nextToken;
    private final EndpointListWatch listWatch;

    /** One server of the list and what this instance has seen of it. */
    private static final class Server {
        final int id;
        final int hash;
        Endpoint member;
        float multiplier;
        double share;
        int failures;
        double shunnedUntil;
        int doubts;
        boolean trial;
        int turnedAway;
        double noPlaceUntil;
        double answeredAt = Double.NEGATIVE_INFINITY;
        boolean probed;

        Server(int id) {
            this.id = id;
            this.hash = CarpHash.endpointHash(id);
        }
    }

    private final class Flight {
        final Request request;
        final ServiceClass kind;
        final boolean safe;
        final double arrivedMs;
        final int keyHash;
        final FairShares charged = shares;
        final Server[] at = new Server[cfg.maxAttempts()];
        final double[] sentAt = new double[cfg.maxAttempts()];
        final boolean[] ended = new boolean[cfg.maxAttempts()];
        int spread = 1;
        int seen = 1;
        int attempts;
        int out;
        boolean done;
        boolean streaming;
        boolean toOrigin;
        boolean waiting;
        boolean doubted;
        Server missedAt;
        double maybeRanSince = Double.NaN;
        Server maybeRanAt;
        ArrayDeque<Flight> followers;

        Flight(Request request, double now) {
            this.request = request;
            arrivedMs = now;
            kind = cfg.classes().get(request.serviceClass());
            safe = kind.idempotency() == Idempotency.IDEMPOTENT;
            keyHash = CarpHash.keyHash(request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id()));
        }

        int maxAttempts() { // fewer than at its start where the settings have become stricter
            return Math.min(at.length, cfg.maxAttempts());
        }
    }

    /** Whether to refuse this one where a part of all must be refused. */
    private boolean refused(Flight f, double excess) {
        FairShares s = f.charged;
        double part = s == null || excess <= 0 ? excess : s.rejectedPart(f.request.tenant(), excess);
        return part > 0 && random.nextDouble() < part;
    }

    /** A fresh instance that knows nothing yet. */
    public CarpLoadBalancer(RoutingSettings settings, long seed) {
        random = new SplittableRandom(settings.instanceSeed(seed));
        listWatch = new EndpointListWatch(random);
        onSettings(0, settings, null);
        double shortestAim = settings.classes().stream()
                .mapToDouble(ServiceClass::latencyObjectiveMs)
                .min()
                .orElseThrow();
        latency = new LatencyEstimates(shortestAim);
    }

    @Override
    public void onSettings(double now, RoutingSettings next, RoutingActions out) {
        if (next.classes().isEmpty() || next.maxAttempts() < 1) {
            throw new IllegalArgumentException("no class, or max attempts " + next.maxAttempts());
        }
        boolean same = cfg != null
                && cfg.tenants().equals(next.tenants())
                && cfg.overQuotaPriorityWeight() == next.overQuotaPriorityWeight();
        listWatch.onSettings(next);
        cfg = next;
        if (!same) { // open requests stay charged where they were
            shares = next.overQuotaPriorityWeight() < 1 && next.tenants().size() > 1
                    ? new FairShares(next.tenants())
                    : null;
        }
        rank(now);
    }

    @Override
    public boolean isAvoided(double now, int server) {
        Server s = servers.get(server);
        return s != null && (s.member.state() != EndpointState.READY || s.failures > 0 && (!s.probed || s.trial));
    }

    @Override
    public Map<String, LearnedState> learnedState(double now) {
        List<EndpointHealthRecord> seen = servers.values().stream()
                .filter(s -> s.failures > 0 || s.doubts > 0)
                .map(s -> new EndpointHealthRecord(s.id, s.member.startTimeMs(), s.failures, s.shunnedUntil, s.doubts))
                .toList();
        return Map.of(
                "",
                new LearnedState(
                        latency.originFetchMs(),
                        latency.endpointMs(),
                        latency.endpointDeviationMs(),
                        latency.usualCostMs(),
                        originThrottle.load(now),
                        endpointThrottle.load(now),
                        hotKeys.total(),
                        hotKeys.hottest(),
                        seen));
    }

    /** Guards against a successor that sends to servers known to be silent, and floods a cold origin. */
    @Override
    public void resume(double now, Map<String, LearnedState> learnt) {
        LearnedState e = learnt.get("");
        if (e == null) {
            return;
        }
        latency.resume(e);
        originThrottle.resume(now, e.originLoad());
        endpointThrottle.resume(now, e.endpointLoad());
        hotKeys.resume(now, e.keyRequestCount(), e.hotKeys());
        for (EndpointHealthRecord seen : e.endpoints()) {
            Server s = servers.get(seen.id());
            if (s != null && s.member.startTimeMs() == seen.startTimeMs()) {
                s.failures = seen.failures();
                s.shunnedUntil = seen.ejectedUntilMs();
                s.doubts = seen.slowResponses();
            }
        }
    }

    /** What the fleet finds of a zone goes before what this instance has seen there. */
    @Override
    public void onZoneDirectives(double now, List<ZoneDirective> orders, RoutingActions out) {
        for (ZoneDirective o : orders) {
            zones.apply(o);
            if (o.resetHealth()) {
                servers.values().stream()
                        .filter(s -> s.member.zone() == o.zone())
                        .forEach(s -> {
                            s.failures = s.doubts = 0;
                            s.shunnedUntil = 0;
                            s.trial = false;
                        });
            }
        }
    }

    // ---- the list

    @Override
    public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> members, RoutingActions out) {
        if (kind == EndpointUpdateKind.FAILED) {
            timer(listWatch.onFailure(now), WATCH, null, out);
            return;
        }
        if (kind == EndpointUpdateKind.CACHED && cfg.pollsDiscovery()) {
            timer(listWatch.firstCallDelayMs(cfg), WATCH, null, out);
        } else if (kind != EndpointUpdateKind.PROVISIONAL) {
            listWatch.onEntries();
        }
        check(members);
        if (kind.isSnapshot()) {
            Set<Integer> named = new HashSet<>();
            members.forEach(m -> named.add(m.id()));
            servers.values().removeIf(s -> !named.contains(s.id));
        }
        for (Endpoint m : members) {
            if (m.state() == EndpointState.REMOVED) {
                servers.remove(m.id());
                continue;
            }
            Server s = servers.computeIfAbsent(m.id(), Server::new);
            if (s.member != null && s.member.startTimeMs() != m.startTimeMs()) {
                s.failures = s.turnedAway = 0;
                s.shunnedUntil = s.noPlaceUntil = 0;
                s.answeredAt = Double.NEGATIVE_INFINITY;
            }
            s.member = m;
        }
        rank(now);
    }

    private void check(List<Endpoint> members) {
        Set<Integer> seen = new HashSet<>();
        for (Endpoint m : members) {
            String id = Integer.toUnsignedString(m.id());
            if (!seen.add(m.id())) {
                throw new IllegalArgumentException("member " + id + " is listed twice");
            }
            if (!(m.weight() >= 0) || Float.isInfinite(m.weight())) {
                throw new IllegalArgumentException("member " + id + " has weight " + m.weight());
            }
            if (m.zone() < 0 || m.zone() >= cfg.zoneCount() || m.kind() < 0 || m.kind() >= cfg.kindCount()) {
                throw new IllegalArgumentException("member " + id + ": zone " + m.zone() + ", kind " + m.kind());
            }
        }
    }

    private void rank(double now) {
        origin = null;
        List<Server> list = new ArrayList<>();
        for (Server s : servers.values()) {
            if (s.member.state() != EndpointState.READY) {
                continue;
            }
            if (cfg.cacheAside() && s.member.kind() == cfg.originKind()) {
                origin = s;
            } else {
                list.add(s);
            }
        }
        list.sort((a, b) -> Integer.compareUnsigned(a.id, b.id));
        ranked = list.toArray(new Server[0]);
        float[] weights = new float[ranked.length];
        double sum = 0;
        for (int i = 0; i < ranked.length; i++) {
            weights[i] = ranked[i].member.weight();
            sum += weights[i];
        }
        weight = sum;
        usualWeight.decay(now, Math.max(1, USUAL_WARM_UPS * cfg.warmUpMs()));
        usualWeight.raiseTo(sum);
        float[] x = CarpHash.multipliers(weights);
        for (int i = 0; i < ranked.length; i++) {
            ranked[i].multiplier = x[i];
            ranked[i].share = sum > 0 ? weights[i] / sum : 1.0 / ranked.length;
        }
    }

    // ---- requests

    @Override
    public void onRequest(double now, Request request, RoutingActions out) {
        if (request.serviceClass() < 0
                || request.serviceClass() >= cfg.classes().size()) {
            throw new IllegalArgumentException("class " + request.serviceClass() + " is not in the settings");
        }
        if (request.tenant() < 0
                || request.tenant() > 0 && request.tenant() >= cfg.tenants().size()) {
            throw new IllegalArgumentException("tenant " + request.tenant() + " is not in the settings");
        }
        latency.recordCostHint(request.costMs());
        if (shares != null) {
            shares.recordRequest(now, request.tenant());
        }
        trials = Math.min(1, trials + DOUBT_SHARE);
        Flight f = new Flight(request, now);
        flights.put(request.id(), f);
        timer(Math.max(0, request.deadlineMs() - now), DUE, f, out);
        f.toOrigin = cfg.cacheAside() && request.write();
        if (!f.toOrigin && request.key() != 0) {
            measureOffered(now);
            f.seen = hotKeys.record(now, request.key());
            f.spread = hotKeys.replicas(f.seen, ranked.length);
        }
        advance(now, f, out);
    }

    /**
     * Each instance takes the others to be asked as much as it is itself, so that those which are asked more send a
     * cold server less, and all together send it no more than was reckoned. A server can do more than one read in the
     * time that one usually takes there: what jams counts as more than it is.
     */
    private void measureOffered(double now) {
        double halfMs = Math.max(1, cfg.overloadWindowMs());
        reads.decay(now, halfMs);
        double perMs = cfg.instanceCount() * reads.value() * Math.log(2) / halfMs;
        offered = perMs * latency.endpointMs() / Math.max(1, ranked.length);
        reads.increment();
    }

    private void advance(double now, Flight f, RoutingActions out) {
        f.waiting = false;
        if (f.done || f.streaming) {
            return;
        }
        // What nobody gains from any more is given up, and so answered, at once.
        boolean worthless = f.safe && f.kind.lateValueShare() == 0 && now > f.arrivedMs + f.kind.latencyObjectiveMs();
        Server s = null;
        if (!worthless && f.attempts < f.maxAttempts() && now < f.request.deadlineMs()) {
            s = f.toOrigin || cfg.cacheAside() && f.safe && f.attempts >= CACHE_TRIES && f.missedAt == null
                    ? origin
                    : choose(now, f, out);
            if (s == null && cfg.cacheAside() && f.safe) {
                s = origin;
            }
        }
        if (s == null || !maySend(now, f, s)) {
            giveUp(f, out);
            return;
        }
        if (s != origin && f.attempts == 0 && f.safe && refused(f, endpointThrottle.excess(now))) {
            giveUp(f, out);
            return;
        }
        // Three in a row found no way there: the next would wait for nothing, and be told late.
        if (s == origin && originBreaker.isOpen(now)) {
            giveUp(f, out);
            return;
        }
        if (s == origin && !f.request.write() && f.request.key() != 0) {
            Flight leader = fetches.get(f.request.key());
            if (leader != null) {
                f.waiting = leader != f && leader.followers.add(f);
                return;
            }
            double excess = originThrottle.excess(now);
            boolean tooLate = excess > 0 && now + latency.originFetchMs() > f.arrivedMs + f.kind.latencyObjectiveMs();
            if (!tooLate) { // who is turned away as too late does not count, or the throttle stays shut
                originThrottle.recordRequest(now);
            }
            if (tooLate || refused(f, excess)) {
                giveUp(f, out);
                return;
            }
            fetches.put(f.request.key(), f);
            f.followers = new ArrayDeque<>();
        } else if (s == origin) {
            originThrottle.recordRequest(now);
        }
        place(now, f, s, out);
    }

    private void place(double now, Flight f, Server s, RoutingActions out) {
        int a = f.attempts++;
        f.at[a] = s;
        f.sentAt[a] = now;
        f.out++;
        boolean worthlessLate = s != origin && f.safe && f.kind.lateValueShare() == 0;
        out.send(
                f.request.id(), s.id, worthlessLate ? Math.max(1, f.arrivedMs + f.kind.latencyObjectiveMs() - now) : 0);
        if (s != origin && f.safe && f.attempts < f.maxAttempts() && f.attempts <= CACHE_TRIES) {
            timer(patience(now, f), PATIENCE, f, out);
        }
    }

    /**
     * How long a cache server may take before it is doubted: three deviations over the usual time for the work hinted
     * at, but early enough that runner-up and origin can still answer within the aim.
     */
    private double patience(double now, Flight f) {
        double usual = (latency.endpointMs() + 3 * latency.endpointDeviationMs()) * latency.relativeWork(f.request);
        double left = Math.min(f.kind.latencyObjectiveMs(), f.request.deadlineMs() - now);
        return Math.max(left / 4, Math.min(usual, left - 2 * latency.originFetchMs()));
    }

    /**
     * The server is overdue: runner-up if the budget allows; guards against silent and hung servers. Where the attempt
     * stays out, its answer clears the server; where it must be called off, one slow answer is no evidence, two in a
     * row are: shunning sound servers moves their keys to the origin.
     */
    private void overdue(double now, Flight f, RoutingActions out) {
        int a = f.attempts - 1;
        Server s = f.at[a];
        if (f.done || f.streaming || f.ended[a] || s == origin) {
            return;
        }
        out.report(s.id, EndpointSignal.UNRESPONSIVE);
        if (cfg.hedgingAllowed() || ++s.doubts > 1) {
            silent(now, s);
        }
        if (doubts < 1
                || f.request.deadlineMs() - now < latency.originFetchMs()
                || !cfg.hedgingAllowed() && !cfg.cancellationAllowed()) {
            return;
        }
        doubts--;
        f.doubted = true;
        if (cfg.hedgingAllowed()) {
            advance(now, f, out);
        } else {
            out.cancel(f.request.id(), a);
        }
    }

    /**
     * A fault between zones would else be found server by server, each at the cost of a request that waits: where
     * several of a zone fall silent and none answers, all of it is left alone as one server would be.
     */
    private void silent(double now, Server s) {
        if (s.failures == 0) { // one server is one, with however many attempts at it
            zones.recordSilence(now, s.member.zone(), SHUN_CONNECTS * cfg.connectTimeoutMs());
        }
        suspect(now, s);
    }

    private void suspect(double now, Server s) {
        s.trial = false;
        s.probed = false;
        s.shunnedUntil = now + SHUN_CONNECTS * cfg.connectTimeoutMs() * (1 << Math.min(s.failures, 3));
        s.failures++;
    }

    /**
     * All the server's places are taken by others: it can't be contacted, and the runner-up has its keys until one may
     * have come free. It is not at fault. Each instance asks again at a time of its own, and the later the more they
     * are, as it is all together that ask; and it tells the others, who would else find the same out one by one, each
     * at the cost of an attempt.
     */
    private void noPlace(double now, Server s, RoutingActions out) {
        boolean told = now < s.noPlaceUntil; // by a peer, while this attempt was out
        leave(now, s, 1 << Math.min(s.turnedAway++, MAX_TURNED_AWAY));
        if (cfg.peerMessagesAllowed() && !told) {
            out.sendToPeer(ALL_PEERS, PeerMessage.endpointFull(s.id));
        }
    }

    private void leave(double now, Server s, int times) {
        double least = SHUN_CONNECTS * cfg.connectTimeoutMs();
        double wait = Math.min(
                least * (1 << MAX_TURNED_AWAY), Math.max(least, cfg.instanceCount() * cfg.connectTimeoutMs()) * times);
        s.noPlaceUntil = Math.max(s.noPlaceUntil, now + wait * (0.5 + random.nextDouble()));
    }

    /**
     * A peer has found no place at a server. Who has a place of its own there keeps to it, so a peer that is wrong
     * costs no more than that: until the time is over, the runner-up has what had no place here anyway. Where several
     * have found one silent, it is left alone here too, unless it has answered just now.
     */
    @Override
    public void onPeerMessage(double now, int peer, byte[] message, RoutingActions out) {
        Server b = servers.get(PeerMessage.readEndpointUnresponsive(message));
        if (b != null
                && b != origin
                && b.failures == 0
                && now - b.answeredAt > SHUN_CONNECTS * cfg.connectTimeoutMs()) {
            suspect(now, b);
        }
        Server s = servers.get(PeerMessage.readEndpointFull(message));
        if (s != null && s != origin && now - s.answeredAt > HELD_CONNECTS * cfg.connectTimeoutMs()) {
            leave(now, s, 1);
        }
    }

    private boolean maySend(double now, Flight f, Server s) {
        if (f.out > 0 && !(cfg.hedgingAllowed() && f.safe)) {
            return false;
        }
        if (Double.isNaN(f.maybeRanSince) || f.safe) {
            return true;
        }
        // A connection for it may take its time to come up, and servers go by when the repeat reaches them.
        double begins = now + cfg.connectTimeoutMs();
        return f.kind.idempotency() == Idempotency.KEYED
                && begins < f.maybeRanSince + f.kind.deduplicationWindowMs()
                && sameGroup(f.kind.deduplicationScope(), f.maybeRanAt.member, s.member);
    }

    private static boolean sameGroup(DeduplicationScope group, Endpoint a, Endpoint b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.cell() == b.cell();
        };
    }

    private void giveUp(Flight f, RoutingActions out) {
        if (f.out > 0 && f.safe) {
            return;
        }
        answer(f, out);
        finish(f);
    }

    /** The final answer: a refusal only where no attempt may have run. */
    private void answer(Flight f, RoutingActions out) {
        if (f.safe || Double.isNaN(f.maybeRanSince) && f.out == 0) {
            out.reject(f.request.id(), comeBackMs());
        } else {
            out.fail(f.request.id());
        }
    }

    /**
     * When to come back: a server's present work is half done on average, and then it has a place again. Guards against
     * clients that ask again at once and keep up the jam they were turned away for.
     */
    private double comeBackMs() {
        return Math.min(cfg.maxRetryAfterMs(), latency.endpointMs() / 2);
    }

    private void finish(Flight f) {
        f.done = true;
        if (f.out == 0) {
            flights.remove(f.request.id());
        }
    }

    // ---- choice of a server

    private Server choose(double now, Flight f, RoutingActions out) {
        int want = Math.min(ranked.length, Math.max(RANKS, f.spread + RANKS));
        topRanks(f.keyHash, want);
        int offset = f.spread > 1 ? random.nextInt(f.spread) : 0;
        Server untried = null;
        for (int i = 0; i < topCount; i++) {
            Server s = top[i < f.spread ? (i + offset) % f.spread : i];
            if (tried(f, s) && s != f.missedAt) {
                continue;
            }
            boolean left = left(f, s);
            if (untried == null && !left && !cold(now, s)) {
                untried = s;
            }
            if (left ? tries(now, f, s) : open(now, f, s, out)) {
                return s;
            }
        }
        return untried;
    }

    private static boolean tried(Flight f, Server s) {
        for (int a = 0; a < f.attempts; a++) {
            if (f.at[a] == s) {
                return true;
            }
        }
        return false;
    }

    /**
     * The draft's member that can't be contacted: where the fleet has left a zone for a part of its keys, the same at
     * all instances, these go to their runner-up. No other key moves.
     */
    private boolean left(Flight f, Server s) {
        return zones.isDiverted(s.member.zone(), f.keyHash);
    }

    /** Few instances try a zone that is left, on the fleet's order; each of all would else, and at once. */
    private boolean tries(double now, Flight f, Server s) {
        int zone = s.member.zone();
        if (!zones.isProbeAllowed(zone)
                || !f.safe
                || f.attempts > 0
                || now < s.noPlaceUntil
                || !warmEnough(now, f, s)) {
            return false;
        }
        zones.probeSent(zone);
        return true;
    }

    private boolean open(double now, Flight f, Server s, RoutingActions out) {
        if (now < s.noPlaceUntil) {
            return false;
        }
        if (s.failures == 0 || s.probed && !s.trial) {
            return !zones.isOpen(now, s.member.zone()) && warmEnough(now, f, s);
        }
        if (now < s.shunnedUntil || s.trial || !f.safe || f.attempts > 0 || trials < 1) {
            return false;
        }
        trials--;
        s.trial = true;
        if (cfg.healthChecksAllowed()) {
            out.checkHealth(s.id);
            return false;
        }
        return warmEnough(now, f, s);
    }

    /**
     * The draft knows no cold member. Of one key it takes no more than a server's fair part of what this instance sees.
     * For its warm-up a server takes only keys whose lot, the same at all instances, lies under its ramp; the others
     * stay with their runner-up. The ramp is what it can do, less where servers are missing and each has the keys of
     * others, and where a jam brings clients' repeats. Any less would leave the keys of a replaced server to warm ones
     * that have their own: all instances alike would jam these. Hot keys and repeats, a client's as well, keep off it:
     * they are what pushes it over.
     */
    private boolean warmEnough(double now, Flight f, Server s) {
        if (!cold(now, s)) {
            return true;
        }
        if (f.attempts > 0 || f.request.clientRetry() || f.spread > 1) {
            return false;
        }
        double age = now - s.member.localStartTimeMs();
        double steady = cfg.initialCapacity() + (1 - cfg.initialCapacity()) * Math.max(0, age) / cfg.warmUpMs();
        // How it warms up is not told: it must also stand what it gets if it stays at its start for long.
        double capacity = Math.min(steady, cfg.overloadMultiple() * cfg.initialCapacity() / offered);
        double room = Math.min(1, cfg.overloadMultiple() * COLD_ROOM / endpointThrottle.pressure(now));
        double ramp = capacity * (usualWeight.value() > 0 ? weight / usualWeight.value() : 1) * room;
        boolean fair = f.seen <= 1 || random.nextDouble() * f.seen < hotKeys.total() * s.share;
        return fair && CarpHash.keyFraction(f.keyHash, s.hash) < ramp;
    }

    private boolean cold(double now, Server s) {
        return s.member.startTimeMs() != 0 && now - s.member.localStartTimeMs() < cfg.warmUpMs();
    }

    private void topRanks(int keyHash, int want) {
        if (top.length < want) {
            top = new Server[want];
            topScore = new double[want];
        }
        topCount = 0;
        for (Server s : ranked) {
            double score = CarpHash.score(keyHash, s.hash, s.multiplier);
            if (topCount == want && score <= topScore[want - 1]) {
                continue;
            }
            int last = topCount < want ? topCount++ : want - 1;
            int i = placeOf(score, last);
            System.arraycopy(top, i, top, i + 1, last - i);
            System.arraycopy(topScore, i, topScore, i + 1, last - i);
            top[i] = s;
            topScore[i] = score;
        }
    }

    /** The first of so many ranks whose score is lower; a hot key of a large fleet has hundreds of ranks. */
    private int placeOf(double score, int ranks) {
        int low = 0;
        int high = ranks;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (topScore[middle] < score) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    // ---- ends of attempts

    @Override
    public void onAttemptEnd(double now, AttemptEnd end, RoutingActions out) {
        Flight f = flights.get(end.request());
        if (f == null || end.attempt() >= f.attempts || f.ended[end.attempt()]) {
            return;
        }
        Server s = f.at[end.attempt()];
        f.ended[end.attempt()] = true;
        f.out--;
        learn(now, f, s, end, out);
        if (end.outcome().mayHaveRun() && Double.isNaN(f.maybeRanSince)) {
            f.maybeRanSince = f.sentAt[end.attempt()];
            f.maybeRanAt = s;
        }
        boolean wasDone = f.done;
        if (end.requestCompleted() || f.done) {
            finish(f);
        }
        if (f.followers != null && s == origin) {
            fetchEnded(now, f, end.outcome() == AttemptOutcome.OK, out);
        }
        if (!wasDone && end.requestCompleted()) {
            cancelRest(f, out);
        } else if (!f.done) {
            next(now, f, s, end, out);
        }
    }

    private void next(double now, Flight f, Server s, AttemptEnd end, RoutingActions out) {
        if (end.outcome() == AttemptOutcome.MISS) {
            f.toOrigin = true;
            f.missedAt = s;
            if (end.note() == NOTE_FETCH_IN_FLIGHT && f.attempts + 2 <= f.maxAttempts()) {
                f.toOrigin = false;
                f.waiting = true;
                timer(latency.originFetchMs(), AGAIN, f, out);
                return;
            }
        } else if (s == origin
                && end.outcome() == AttemptOutcome.REJECTED
                && f.request.write()
                && f.attempts < f.maxAttempts()) {
            f.waiting = true;
            timer(latency.originFetchMs() * (0.5 + random.nextDouble()), AGAIN, f, out);
            return;
        }
        if (s == origin && !f.request.write()) {
            giveUp(f, out);
        } else if (f.out == 0 || f.safe && cfg.hedgingAllowed()) {
            advance(now, f, out);
        }
    }

    private void cancelRest(Flight f, RoutingActions out) {
        for (int a = 0; cfg.cancellationAllowed() && a < f.attempts; a++) {
            if (!f.ended[a]) {
                out.cancel(f.request.id(), a);
            }
        }
    }

    /** Those who waited for a fetch find its object where it was missed; where the fetch failed, one of them tries. */
    private void fetchEnded(double now, Flight f, boolean stored, RoutingActions out) {
        ArrayDeque<Flight> followers = f.followers;
        fetches.remove(f.request.key());
        f.followers = null;
        for (Flight w : followers) {
            if (w.done || !w.waiting) {
                continue;
            }
            w.toOrigin = !stored || w.attempts + 2 > w.maxAttempts();
            advance(now, w, out);
        }
    }

    private void learn(double now, Flight f, Server s, AttemptEnd end, RoutingActions out) {
        if (f.doubted && end.attempt() > 0 && end.outcome() == AttemptOutcome.OK) {
            doubts++;
        }
        if (s == origin && outOfReach(end.outcome())) {
            originThrottle.withdrawRequest(now);
        }
        if (s == origin && end.outcome() == AttemptOutcome.CONNECT_FAILED) {
            originBreaker.recordFailure(now, new ExponentialBackoff(SHUN_CONNECTS / 2 * cfg.connectTimeoutMs(), 0));
        } else if (s == origin
                && end.outcome() != AttemptOutcome.TIMEOUT
                && end.outcome() != AttemptOutcome.CANCELLED) {
            originBreaker.recordSuccess();
        }
        switch (end.outcome()) {
            case OK, MISS, REJECTED -> {
                s.answeredAt = now;
                s.noPlaceUntil = 0;
                if (s != origin) {
                    zones.recordResponse(s.member.zone());
                    out.report(
                            s.id,
                            end.outcome() == AttemptOutcome.MISS
                                    ? EndpointSignal.CACHE_MISS
                                    : EndpointSignal.RESPONDED);
                } else {
                    boolean inTime =
                            end.outcome() == AttemptOutcome.OK && now <= f.arrivedMs + f.kind.latencyObjectiveMs();
                    out.report(s.id, inTime ? EndpointSignal.RESPONDED : EndpointSignal.UNRESPONSIVE);
                }
                if (s != origin && end.outcome() == AttemptOutcome.REJECTED && end.attempt() > 0) {
                    endpointThrottle.recordRequest(now);
                }
                boolean timely = end.elapsedMs() <= f.kind.latencyObjectiveMs() || endpointThrottle.isOverloaded(now);
                if (s == origin || timely) {
                    s.failures = s.doubts = s.turnedAway = 0;
                }
                s.trial = false;
                if (s != origin && end.outcome() == AttemptOutcome.OK) {
                    endpointThrottle.recordRequest(now);
                    if (end.elapsedMs() <= f.kind.latencyObjectiveMs() - latency.originFetchMs()) {
                        endpointThrottle.recordCompletedInTime(now);
                    }
                    latency.recordEndpointAnswer(end.elapsedMs(), latency.relativeWork(f.request));
                    doubts = Math.min(DOUBT_SAVED, doubts + DOUBT_SHARE);
                }
                if (s == origin && end.outcome() == AttemptOutcome.OK) {
                    if (now <= f.arrivedMs + f.kind.latencyObjectiveMs()) {
                        originThrottle.recordCompletedInTime(now);
                    }
                    latency.recordOriginAnswer(end.elapsedMs());
                }
            }
            case CONNECTION_LIMIT -> {
                s.trial = false;
                noPlace(now, s, out);
            }
            case CONNECT_FAILED, RESET, TIMEOUT -> {
                if (s != origin) {
                    boolean shared = endpointThrottle.isOverloaded(now);
                    if (end.outcome() == AttemptOutcome.TIMEOUT && s.failures <= (shared ? 1 : 0)) {
                        endpointThrottle.recordRequest(now);
                    }
                    if (end.outcome() != AttemptOutcome.TIMEOUT) { // that was seen when it was overdue
                        out.report(s.id, EndpointSignal.UNRESPONSIVE);
                    }
                    if (end.outcome() != AttemptOutcome.RESET) {
                        silent(now, s);
                    } else if (s.failures > 0 || ++s.doubts > 1) {
                        suspect(now, s);
                    }
                }
            }
            default -> s.trial = false;
        }
    }

    private static boolean outOfReach(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.NOT_SENT;
    }

    @Override
    public void onFirstByte(double now, int request, int attempt, int server, RoutingActions out) {
        Flight f = flights.get(request);
        if (f != null) {
            f.streaming = true;
        }
    }

    @Override
    public void onClientDisconnected(double now, int request, RoutingActions out) {
        Flight f = flights.get(request);
        if (f != null && !f.done) {
            leave(now, f, out);
        }
    }

    @SuppressWarnings("UnusedVariable") // now: as all handlers take it
    private void leave(double now, Flight f, RoutingActions out) {
        finish(f);
        if (f.streaming) {
            return;
        }
        if (f.followers == null || f.followers.isEmpty()) {
            cancelRest(f, out);
        }
    }

    @Override
    public void onTimer(double now, int token, RoutingActions out) {
        Flight f = timers.remove(token);
        switch (token & 3) {
            case DUE -> {
                if (f != null && !f.done && !f.streaming) {
                    answer(f, out);
                    leave(now, f, out);
                }
            }
            case PATIENCE -> {
                if (f != null) {
                    overdue(now, f, out);
                }
            }
            case AGAIN -> {
                if (f != null && f.waiting) {
                    advance(now, f, out);
                }
            }
            case WATCH -> {
                if (listWatch.subscribe(now)) {
                    out.setWatch(true);
                }
            }
        }
    }

    private void timer(double afterMs, int kind, Flight f, RoutingActions out) {
        int token = nextToken++ << 2 | kind;
        if (f != null) {
            timers.put(token, f);
        }
        out.setTimer(afterMs, token);
    }

    @Override
    public void onHealthCheckResult(
            double now, int server, AttemptOutcome outcome, double elapsedMs, float[] report, RoutingActions out) {
        Server s = servers.get(server);
        if (s == null || s.failures == 0) {
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            s.trial = false;
            s.probed = true;
        } else {
            suspect(now, s);
        }
    }
}

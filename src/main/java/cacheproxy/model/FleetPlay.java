package cacheproxy.model;

import cacheproxy.routing.CarpHash;
import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ServiceClass;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * One simulation run: a tier of instances in front of one fleet, for a number of seconds of virtual time. Events are
 * scheduled before the run with {@link #at}; counts and rule violations are read after it.
 */
public final class FleetPlay {
    /** Start time of a run. A node's start time of 0 means long ago, so time starts later than that. */
    static final double START_MS = 100_000;

    private static final double SWEEP_MS = 1000;
    private static final double PEER_LOST = 0.02;
    private static final double PEER_LEAST_MS = 3.6;
    private static final double PEER_MOST_MS = 30;
    /** A starting process accepts clients after this time plus up to a second. */
    private static final double BOOT_MS = 1500;
    /** The front layer goes on sending to a dead instance for this time plus up to 1.83 s. */
    private static final double FRONT_MS = 970;
    /** An instance that was told to end still gets new connections for this time. */
    private static final double LAST_COMERS_MS = 300;
    /** Ratio of the fleet's memory to the keys that it is to hold. */
    private static final double ROOM = 1.1;
    /** Share of the read hits lost to invalidation by writes, one request in twenty; larger memory compensates. */
    private static final double VOIDED = 0.045;

    private static final double MOST_HELD = 0.995;

    private final FleetDraw draw;
    private final double seconds;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(START_MS);
    private final Rules rules = new Rules();
    private final Tally tally;
    private final Network network;
    private final DiscoveryModel discovery;
    private final OriginModel origin;
    private final ClientsModel clients;
    private final TreeMap<Integer, NodeModel> nodes = new TreeMap<>();
    private final List<ColdLoad> coldLoads = new ArrayList<>();
    private final InstanceModel[] instances;
    private final BiFunction<RoutingSettings, Long, LoadBalancer> modules;
    private final int entries;
    private int nextNode = 1;
    private boolean leaves;

    /** A run with the production decision module. */
    public FleetPlay(FleetDraw draw, double seconds) {
        this(draw, seconds, CarpLoadBalancer::new);
    }

    /** {@code modules}: creates an instance's decision module from its settings and seed. */
    FleetPlay(FleetDraw draw, double seconds, BiFunction<RoutingSettings, Long, LoadBalancer> modules) {
        if (!(seconds >= 1 && seconds <= 100_000)) {
            throw new IllegalArgumentException("a run of " + seconds + " s; it takes 1 to 100,000");
        }
        this.draw = draw;
        this.seconds = seconds;
        this.modules = modules;
        random = new SplittableRandom(draw.seed() * 0x9e3779b97f4a7c15L + 1);
        tally = new Tally(START_MS, (int) Math.ceil(seconds));
        network = new Network(draw, random.split());
        discovery = new DiscoveryModel(draw, time, tally);
        origin = new OriginModel(draw, time, tally, random.split());
        clients = new ClientsModel(this, random.split());
        int held = clients.keysFor(Math.min(MOST_HELD, draw.hits() + VOIDED));
        entries = (int) Math.max(1, held * ROOM / draw.nodes());
        discovery.begin(
                new Endpoint(FleetDraw.ORIGIN, OriginModel.ZONE, FleetDraw.ORIGIN_KIND, 0, EndpointState.READY, 1, 0));
        for (int i = 0; i < draw.nodes(); i++) {
            NodeModel n = newNode(0);
            discovery.begin(member(n, EndpointState.READY));
        }
        warm(held);
        instances = new InstanceModel[draw.instances()];
        for (int i = 0; i < instances.length; i++) {
            instances[i] = new InstanceModel(i, this, random.split());
        }
    }

    /** Prefills the caches: stores each of the most popular keys at the node that CARP ranks first. */
    private void warm(int held) {
        List<NodeModel> all = List.copyOf(nodes.values());
        float[] shares = new float[all.size()];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = all.get(i).weight;
        }
        float[] multipliers = CarpHash.multipliers(shares);
        for (long key = held; key >= 1; key--) {
            int hash = CarpHash.keyHash(key);
            int best = 0;
            double score = -1;
            for (int i = 0; i < shares.length; i++) {
                double s = CarpHash.score(hash, CarpHash.endpointHash(all.get(i).id), multipliers[i]);
                if (s > score) {
                    score = s;
                    best = i;
                }
            }
            all.get(best).put(key);
        }
    }

    private NodeModel newNode(double bornMs) {
        int id = nextNode++;
        return node(id, id % draw.zones(), bornMs);
    }

    private NodeModel node(int id, int zone, double bornMs) {
        boolean fast = new SplittableRandom(draw.seed() + id).nextDouble() < draw.fastShare();
        int room = (int)
                Math.ceil(entries * 2 * (fast ? FleetDraw.FAST : FleetDraw.SLOW) / (FleetDraw.FAST + FleetDraw.SLOW));
        NodeModel n = new NodeModel(id, zone, bornMs, fast, draw, room, time, rules, random.split());
        nodes.put(id, n);
        if (n.load() != null) {
            coldLoads.add(n.load());
        }
        return n;
    }

    private static Endpoint member(NodeModel n, EndpointState state) {
        return new Endpoint(n.id, n.zone, 0, n.id / 8, state, n.weight, n.bornMs);
    }

    // ---- the run

    /** Schedules an event at a time in seconds from the start. */
    public FleetPlay at(double second, Runnable what) {
        time.at(START_MS + second * 1000, what);
        return this;
    }

    /** Runs to the end, and on until the requests open by then have ended. */
    public FleetPlay run() {
        double until = START_MS + seconds * 1000;
        for (InstanceModel i : instances) {
            i.start();
        }
        clients.run(until);
        sweep(until);
        time.passTo(until + 2 * longestDeadlineMs());
        return this;
    }

    private void sweep(double until) {
        for (InstanceModel i : instances) {
            i.sweep();
        }
        if (time.now() < until) {
            time.after(SWEEP_MS, () -> sweep(until));
        }
    }

    /** Duration in seconds. */
    double seconds() {
        return seconds;
    }

    /** The simulated deployment. */
    public FleetDraw draw() {
        return draw;
    }

    /** The counters of the run. */
    public Tally tally() {
        return tally;
    }

    /** The rule violations of the run. */
    public Rules rules() {
        return rules;
    }

    /** For each node that started during the run, the load it received while cold. */
    public List<ColdLoad> coldLoads() {
        return List.copyOf(coldLoads);
    }

    /** The versions of the list that the instances hold; 0: none but the kept one. */
    public List<Long> versions() {
        List<Long> all = new ArrayList<>();
        for (InstanceModel i : instances) {
            all.add(i.version());
        }
        return all;
    }

    VirtualTime time() {
        return time;
    }

    Network network() {
        return network;
    }

    DiscoveryModel discovery() {
        return discovery;
    }

    OriginModel origin() {
        return origin;
    }

    ClientsModel clients() {
        return clients;
    }

    LoadBalancer module(RoutingSettings settings, long seed) {
        return modules.apply(settings, seed);
    }

    NodeModel node(int id) {
        return nodes.get(id);
    }

    List<NodeModel> nodes() {
        return List.copyOf(nodes.values());
    }

    InstanceModel instance(int i) {
        return instances[i];
    }

    double longestDeadlineMs() {
        return FleetDraw.CLASSES.stream()
                .mapToDouble(ServiceClass::timeoutMs)
                .max()
                .orElseThrow();
    }

    /** The origin completed an attempt: a read is stored where it missed, a write invalidates all cached copies. */
    void stored(Attempt a) {
        Ask ask = a.ask;
        if (ask.request.write()) {
            boolean again = ask.ran++ > 0
                    && (ask.kind.deduplicationWindowMs() == 0
                            || time.now() > ask.ranMs + ask.kind.deduplicationWindowMs());
            if (again || ask.answer == Ask.Answer.REFUSED) {
                rules.broken(
                        Rules.Rule.NO_EFFECT_TWICE,
                        time.now(),
                        "request " + ask.request.id() + " (" + ask.kind.name() + ") has run "
                                + (again ? "twice" : "and was refused"));
            }
            ask.ranMs = ask.ran == 1 ? time.now() : ask.ranMs;
            nodes.values().forEach(n -> n.drop(ask.request.key()));
        } else if (!ask.over) {
            ask.attempts.stream()
                    .filter(t -> t.missed && nodes.containsKey(t.server))
                    .limit(2)
                    .forEach(t -> nodes.get(t.server).put(ask.request.key()));
        }
    }

    /** Turns on membership and zone failover of the instances; call before the run. */
    public FleetPlay leaveZones() {
        leaves = true;
        return this;
    }

    boolean leaves() {
        return leaves;
    }

    /** The zone of a node; negative if there is no such node. */
    int zoneOf(int node) {
        NodeModel n = nodes.get(node);
        return n == null ? -1 : n.zone;
    }

    /** Sends a datagram from one instance to another, with delay and possible loss. */
    void post(InstanceModel from, int to, Consumer<InstanceModel> what) {
        InstanceModel other = instances[to];
        tally.add(time.now(), Figure.MESSAGES);
        if (random.nextDouble() >= PEER_LOST) {
            time.after(PEER_LEAST_MS + (PEER_MOST_MS - PEER_LEAST_MS) * random.nextDouble(), () -> {
                if (other.hears(from)) {
                    what.accept(other);
                }
            });
        }
    }

    /** Sends a datagram from one instance to each other one, with delay and possible loss. */
    void tell(InstanceModel from, Consumer<InstanceModel> what) {
        for (InstanceModel to : instances) {
            if (to != from) {
                post(from, to.number(), what);
            }
        }
    }

    // ---- faults

    /** Kills an instance, which restarts by itself. */
    void kill(int i) {
        if (instances[i].up()) {
            instances[i].kill();
            startAgain(i);
        }
    }

    private void startAgain(int i) {
        double bootMs = BOOT_MS + 1000 * random.nextDouble();
        time.after(FRONT_MS + 1830 * random.nextDouble(), () -> clients.front(i, instances[i].takes()));
        time.after(bootMs, () -> {
            instances[i].start();
            clients.front(i, true);
        });
    }

    /** Shuts an instance down gracefully; it then restarts. */
    void restart(int i) {
        clients.front(i, false);
        time.after(LAST_COMERS_MS, () -> {
            if (instances[i].up()) {
                instances[i].retire(() -> startAgain(i));
            }
        });
    }

    /** Drains and ends a node; a cold one replaces it under a new id. */
    void replace(NodeModel n, double drainMs) {
        if (drainMs > 0) {
            n.drain();
            discovery.changed(member(n, EndpointState.DRAINING));
        }
        time.after(drainMs, () -> {
            n.go();
            nodes.remove(n.id, n);
            discovery.changed(new Endpoint(n.id, n.zone, 0, n.id / 8, EndpointState.REMOVED, n.weight, n.bornMs));
            NodeModel cold = newNode(time.now());
            discovery.changed(member(cold, EndpointState.READY));
        });
    }

    /** A node stops responding for this time and returns cold under the same id. */
    void lose(NodeModel n, double ms) {
        n.silent(true);
        time.after(ms, () -> {
            if (nodes.get(n.id) == n) {
                n.go();
                NodeModel back = node(n.id, n.zone, time.now());
                discovery.changed(member(back, EndpointState.READY));
            }
        });
    }

    /** A node's process crashes; another starts cold this much later under the same id. */
    void crash(NodeModel n, double ms) {
        n.go();
        time.after(ms, () -> {
            if (nodes.get(n.id) == n) {
                discovery.changed(member(node(n.id, n.zone, time.now()), EndpointState.READY));
            }
        });
    }

    /** Draws a random sample of a list. */
    <T> List<T> some(List<T> all, int many) {
        List<T> rest = new ArrayList<>(all);
        List<T> drawn = new ArrayList<>();
        while (drawn.size() < many && !rest.isEmpty()) {
            drawn.add(rest.remove(random.nextInt(rest.size())));
        }
        return drawn;
    }

    SplittableRandom random() {
        return random;
    }
}

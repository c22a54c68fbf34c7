package cacheproxy.emulator;

import cacheproxy.emulator.meta.MetaCommand;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A fleet of stand-ins on loopback: cache nodes, the origin, discovery, and the oracle that all of them report to.
 * Everything runs on one event loop of its own; public methods may be called from any other thread.
 */
public final class EmulatedFleet implements AutoCloseable {
    /** How long a miss waits for the fetch that fills it. */
    private static final double MISS_MEMORY_MS = 10_000;

    /** What carries out faults of proxies. Called on the fleet's event loop; must not wait. */
    public interface ProxyFaults {
        /** Carries out a fault whose target is a proxy. */
        void apply(int proxy, Fault fault);
    }

    private record Missed(String key, Set<CacheNode> nodes, double atMs) {}

    private final int number = Hosts.next();
    private final FleetSpec spec;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Sockets.BEST.io());
    private final EventLoop loop = group.next();
    private final long startNanos = System.nanoTime();
    private final long startUnixMs = System.currentTimeMillis();
    private final Oracle oracle;
    private final HostList roster = new HostList();
    private final Map<String, CacheNode> nodes = new LinkedHashMap<>();
    private final OriginServer origin;
    private final DiscoveryServer discovery;
    private final Links links;
    private final Series series;
    private final PeerRelay peers;
    private final Map<String, Double> classWork = new HashMap<>();
    /** Where each request has missed, oldest first, and how many fetches of a key are out. */
    private final Map<String, Missed> misses = new LinkedHashMap<>();

    private final Map<String, Integer> fetching = new HashMap<>();
    private ProxyFaults proxyFaults = (proxy, fault) -> {};

    /** Opens all sockets; returns when they listen. */
    public EmulatedFleet(FleetSpec spec) {
        this.spec = spec;
        oracle = new Oracle(spec.drainGraceMs(), spec.answerGraceMs());
        links = new Links(spec);
        series = new Series(spec.proxies(), spec.layout().zones().size(), this::now);
        spec.classes().forEach(c -> classWork.put(c.name(), c.work()));
        SplittableRandom random = new SplittableRandom(spec.seed());
        origin = new OriginServer(this);
        roster.put(new HostList.Host(
                Parties.ORIGIN, texts(origin.listener()), sites().get(0), "origin", 0, HostList.Health.UP, 0));
        for (int i = 0; i < spec.nodes(); i++) {
            String name = Parties.node(i);
            // Fast and slow machines, as merged fleets have them.
            boolean fast = random.nextDouble() < 0.59;
            double speed = fast ? random.nextDouble(1.5, 2.1) : random.nextDouble(0.77, 1);
            CacheNode node = new CacheNode(this, name, speed, random.nextLong());
            nodes.put(name, node);
            roster.put(new HostList.Host(
                    name,
                    texts(node.listener()),
                    sites().get(spec.layout().zoneOf(i)),
                    fast ? "node-fast" : "node-slow",
                    i,
                    HostList.Health.UP,
                    0));
        }
        discovery = new DiscoveryServer(this, roster);
        peers = spec.layout().peers() ? new PeerRelay(this, links) : null;
        relink();
    }

    private static List<String> texts(Listener listener) {
        return listener.addresses().stream().map(EmulatedFleet::text).toList();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    // ---- for people and tools

    /** What it was made by. */
    public FleetSpec spec() {
        return spec;
    }

    /** The names that the list may hold for sites. */
    public List<String> sites() {
        return spec.layout().zones();
    }

    /** The names that the list may hold for kinds; the last is the origin's. */
    public List<String> kinds() {
        return List.of("node-fast", "node-slow", "origin");
    }

    /** Where each node listens for this proxy, by name. */
    public Map<String, InetSocketAddress> nodes(int proxy) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        nodes.forEach(
                (name, node) -> addresses.put(name, node.listener().addresses().get(proxy)));
        return addresses;
    }

    /** Where the origin listens for the first proxy. */
    public InetSocketAddress originAddress() {
        return origin.listener().addresses().get(0);
    }

    /** Datagrams between proxies, or null where these know nothing of each other. */
    public PeerRelay peers() {
        return peers;
    }

    /** What each proxy did in each second so far. */
    public List<Series.Row> rows() {
        return on(series::rows);
    }

    /** What all proxies did together in each tenth of a second so far, by {@link Series.What#ordinal}. */
    public List<long[]> tenths() {
        return on(series::tenths);
    }

    /** Has something counted, in turn with what the stand-ins count; waits for nothing. */
    public void count(Consumer<Series> what) {
        loop.execute(() -> what.accept(series));
    }

    /**
     * The address of the machine that this proxy stands for: one of its own on loopback, so that no other socket can
     * take its port while it is away.
     */
    public InetAddress host(int proxy) {
        return Hosts.of(number, proxy);
    }

    /** Where discovery listens for this proxy; it has two addresses and takes turns with them. */
    public InetSocketAddress discovery(int proxy, int turn) {
        return discovery.listener().addresses().get(turn % DiscoveryServer.ADDRESSES * spec.proxies() + proxy);
    }

    /** The list as this proxy would be told it now. */
    public JsonObject known(int proxy) {
        return on(() -> DiscoveryServer.json(proxy, roster.seq(), roster.whole(), true));
    }

    /** What the oracle has seen so far. */
    public Oracle.Verdict verdict() {
        return on(oracle::verdict);
    }

    /** Waits until the last requests' grace is over, so that a verdict holds all that the oracle is to be told. */
    public void awaitGrace() {
        loop.schedule(() -> {}, (long) spec.answerGraceMs() + 200, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    /** Fetches that the origin has served so far. */
    public long fetches() {
        return on(origin::fetches);
    }

    /** Has something said to the oracle, in turn with what the stand-ins say; waits for nothing. */
    public void tell(Consumer<Oracle> what) {
        loop.execute(() -> what.accept(oracle));
    }

    /** Milliseconds since the start. */
    public double now() {
        return at(System.nanoTime());
    }

    /** A {@link System#nanoTime()} in milliseconds since the start. */
    public double at(long nanos) {
        return (nanos - startNanos) / 1e6;
    }

    /** The event loop that all of it runs on. */
    public EventLoop loop() {
        return loop;
    }

    /** Runs something on the event loop and waits for what it gives; not to be called there. */
    public <T> T on(Callable<T> what) {
        return loop.submit(what).syncUninterruptibly().getNow();
    }

    /**
     * Lets these faults happen, their times counted from now; done when those that are due now have happened. They are
     * not left to a timer: an event loop may run what is handed in later before a timer that is due.
     */
    public Future<?> play(List<Fault> faults, ProxyFaults proxies) {
        return loop.submit(() -> {
            proxyFaults = proxies;
            for (Fault f : faults) {
                if (f.atMs() <= 0) {
                    apply(f);
                } else {
                    after(f.atMs(), () -> apply(f));
                }
            }
        });
    }

    /** Lets something go wrong between parts of the fleet, its time counted from now. */
    public void play(LinkFault fault) {
        loop.execute(() -> {
            if (fault.atMs() <= 0) {
                begin(fault);
            } else {
                after(fault.atMs(), () -> begin(fault));
            }
        });
    }

    private void begin(LinkFault fault) {
        links.begin(fault);
        relink();
        after(fault.forMs(), () -> {
            links.end(fault);
            relink();
        });
    }

    /** Tells all stand-ins what their links are like now. */
    private void relink() {
        for (int p = 0; p < spec.proxies(); p++) {
            String proxy = Parties.proxy(p);
            for (CacheNode n : nodes.values()) {
                n.listener().ways(p, links.way(proxy, n.name()), links.way(n.name(), proxy));
            }
            oracle.reachesDiscovery(p, !discovery.isDown() && reachesDiscovery(p), now());
            origin.listener().ways(p, links.way(proxy, Parties.ORIGIN), links.way(Parties.ORIGIN, proxy));
            for (int i = 0; i < DiscoveryServer.ADDRESSES; i++) {
                discovery
                        .listener()
                        .ways(
                                i * spec.proxies() + p,
                                links.way(proxy, Parties.DISCOVERY),
                                links.way(Parties.DISCOVERY, proxy));
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // ---- for the stand-ins, on the event loop

    Oracle oracle() {
        return oracle;
    }

    OriginServer origin() {
        return origin;
    }

    Series series() {
        return series;
    }

    /** Work of a request, in milliseconds at speed 1: drawn by its id, so the same wherever it goes. */
    double work(String id, String extras) {
        return spec.workMs() * classWork.getOrDefault(String.valueOf(MetaCommand.named(extras, "c")), 1.0) * draw(id);
    }

    double originWork(String id) {
        return spec.originMs() * draw(id + "o");
    }

    /** Of mean 1: half of it fixed, half exponential. */
    private double draw(String id) {
        double u = (Keys.mix(id.hashCode() * 0x9e3779b97f4a7c15L ^ spec.seed()) >>> 11) * 0x1.0p-53;
        return 0.5 - 0.5 * Math.log(1 - u);
    }

    /** A read has missed at a node; whether a fetch of its key is out already. */
    boolean missed(MetaCommand.Read read, CacheNode node) {
        double now = now();
        for (var i = misses.values().iterator(); i.hasNext(); ) {
            Missed m = i.next();
            if (now - m.atMs() <= MISS_MEMORY_MS) {
                break;
            }
            i.remove();
            fetching.computeIfPresent(m.key(), (k, n) -> n > 1 ? n - 1 : null);
        }
        boolean out = fetching.containsKey(read.key());
        Missed m = misses.get(read.id());
        if (m == null) {
            m = new Missed(read.key(), new HashSet<>(), now);
            misses.put(read.id(), m);
            fetching.merge(read.key(), 1, Integer::sum);
        }
        m.nodes().add(node);
        return out;
    }

    /** The origin has made a value for a request: it is kept where that request missed. */
    void fetched(String key, String id, long version) {
        Missed m = misses.remove(id);
        if (m != null) {
            fetching.computeIfPresent(m.key(), (k, n) -> n > 1 ? n - 1 : null);
            m.nodes().forEach(n -> n.fill(key, version));
        }
    }

    void voided(String key) {
        nodes.values().forEach(n -> n.drop(key));
    }

    void pushedOver(CacheNode node) {
        oracle.pushedOver(node.name(), now());
        node.die();
        notice(node.name(), HostList.Health.REMOVED);
    }

    // ---- faults

    private void after(double ms, Runnable task) {
        loop.schedule(task, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    private void notice(String name, HostList.Health health) {
        after(spec.noticeMs(), () -> {
            roster.health(name, health);
            listChanged(name, health);
        });
    }

    private void apply(Fault f) {
        if (Parties.isProxy(f.target())) {
            proxyFaults.apply(Parties.number(f.target()), f);
        } else if (f.target().equals(Parties.DISCOVERY)) {
            applyToDiscovery(f);
        } else if (f.target().equals(Parties.ORIGIN)) {
            applyToOrigin(f);
        } else {
            applyToNode(nodes.get(f.target()), f);
        }
    }

    private void applyToDiscovery(Fault f) {
        switch (f.action()) {
            case WATCHES_SILENT -> {
                discovery.watchesSilent(true);
                after(f.forMs(), () -> discovery.watchesSilent(false));
            }
            case OLDER_LISTS -> {
                discovery.olderLists(true);
                after(f.forMs(), () -> discovery.olderLists(false));
            }
            case RENUMBER -> discovery.renumber();
            default -> {
                discovery.down(true);
                allReachDiscovery(false);
                after(f.forMs(), () -> {
                    discovery.down(false);
                    allReachDiscovery(true);
                });
            }
        }
    }

    private void allReachDiscovery(boolean reach) {
        for (int p = 0; p < spec.proxies(); p++) {
            oracle.reachesDiscovery(p, reach && reachesDiscovery(p), now());
        }
    }

    /** Whether what discovery writes to a proxy comes there, if late. */
    private boolean reachesDiscovery(int proxy) {
        LinkConditions there = links.way(Parties.proxy(proxy), Parties.DISCOVERY);
        LinkConditions back = links.way(Parties.DISCOVERY, Parties.proxy(proxy));
        return there.sound() && back.sound();
    }

    private void listChanged(String node, HostList.Health health) {
        oracle.changed(node, health == HostList.Health.UP, now());
        discovery.changed();
    }

    private void applyToOrigin(Fault f) {
        switch (f.action()) {
            case STALL -> origin.stall(f.forMs());
            case RESET -> origin.listener().reset();
            default -> {
                origin.stall(f.forMs());
                origin.freeze(true);
                after(f.forMs(), () -> {
                    origin.freeze(false);
                    if (f.action() == Fault.Action.SILENCE) {
                        origin.listener().reset();
                    }
                });
            }
        }
    }

    private void applyToNode(CacheNode node, Fault f) {
        switch (f.action()) {
            case STALL -> node.stall(f.forMs());
            case RESET -> node.listener().reset();
            case FREEZE, SILENCE -> {
                node.stall(f.forMs());
                node.freeze(true);
                after(f.forMs(), () -> {
                    if (f.action() == Fault.Action.SILENCE) {
                        node.listener().reset();
                    }
                    node.freeze(false);
                });
            }
            case LEAVE -> {
                node.die();
                notice(node.name(), HostList.Health.REMOVED);
            }
            case DRAIN -> notice(node.name(), HostList.Health.DRAINING);
            case RESTART -> {
                node.die();
                after(
                        f.forMs(),
                        () -> node.live(() -> {
                            HostList.Host host = roster.get(node.name()).born(startUnixMs + (long) now());
                            after(spec.noticeMs(), () -> {
                                roster.put(host);
                                listChanged(node.name(), host.health());
                            });
                        }));
            }
            case SPOIL -> {
                node.spoil(f.share());
                after(f.forMs(), () -> node.spoil(0));
            }
            case STALE -> {
                node.keepStale(true);
                after(f.forMs(), () -> node.keepStale(false));
            }
            default -> throw new IllegalStateException(f.action() + " at " + f.target());
        }
    }
}

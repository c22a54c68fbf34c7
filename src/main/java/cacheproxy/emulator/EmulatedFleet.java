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
 * An emulated fleet on loopback: cache nodes, the origin, discovery, and the oracle that all of them report to. It runs
 * on a single event loop of its own; public methods may be called from any other thread.
 */
public final class EmulatedFleet implements AutoCloseable {
    /** How long a miss is remembered, to be filled by its fetch. */
    private static final double MISS_MEMORY_MS = 10_000;

    /** Executes faults of proxies. Called on the fleet's event loop; must not block. */
    public interface ProxyFaults {
        /** Executes a fault whose target is a proxy. */
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
    private final HostList hostList = new HostList();
    private final Map<String, CacheNode> nodes = new LinkedHashMap<>();
    private final OriginServer origin;
    private final DiscoveryServer discovery;
    private final Links links;
    private final Series series;
    private final PeerRelay peers;
    private final Map<String, Double> classWork = new HashMap<>();
    /** The nodes at which each request has missed, oldest first; below, the number of pending fetches per key. */
    private final Map<String, Missed> misses = new LinkedHashMap<>();

    private final Map<String, Integer> fetching = new HashMap<>();
    private ProxyFaults proxyFaults = (proxy, fault) -> {};

    /** Opens all sockets; returns once they listen. */
    public EmulatedFleet(FleetSpec spec) {
        this.spec = spec;
        oracle = new Oracle(spec.drainGraceMs(), spec.answerGraceMs());
        links = new Links(spec);
        series = new Series(spec.proxies(), spec.layout().zones().size(), this::now);
        spec.classes().forEach(c -> classWork.put(c.name(), c.work()));
        SplittableRandom random = new SplittableRandom(spec.seed());
        origin = new OriginServer(this);
        hostList.put(new HostList.Host(
                Parties.ORIGIN, texts(origin.listener()), sites().get(0), "origin", 0, HostList.Health.UP, 0));
        for (int i = 0; i < spec.nodes(); i++) {
            String name = Parties.node(i);
            // A mix of fast and slow machines, as in fleets that were merged.
            boolean fast = random.nextDouble() < 0.59;
            double speed = fast ? random.nextDouble(1.5, 2.1) : random.nextDouble(0.77, 1);
            CacheNode node = new CacheNode(this, name, speed, random.nextLong());
            nodes.put(name, node);
            hostList.put(new HostList.Host(
                    name,
                    texts(node.listener()),
                    sites().get(spec.layout().zoneOf(i)),
                    fast ? "node-fast" : "node-slow",
                    i,
                    HostList.Health.UP,
                    0));
        }
        discovery = new DiscoveryServer(this, hostList);
        peers = spec.layout().peers() ? new PeerRelay(this, links) : null;
        relink();
    }

    private static List<String> texts(Listener listener) {
        return listener.addresses().stream().map(EmulatedFleet::text).toList();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    // ---- for callers outside the fleet

    /** The parameters of this fleet. */
    public FleetSpec spec() {
        return spec;
    }

    /** The site names that may occur in the host list. */
    public List<String> sites() {
        return spec.layout().zones();
    }

    /** The host kinds that may occur in the host list; the last is the origin's. */
    public List<String> kinds() {
        return List.of("node-fast", "node-slow", "origin");
    }

    /** The nodes' addresses for this proxy, by name. */
    public Map<String, InetSocketAddress> nodes(int proxy) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        nodes.forEach(
                (name, node) -> addresses.put(name, node.listener().addresses().get(proxy)));
        return addresses;
    }

    /** The origin's address for the first proxy. */
    public InetSocketAddress originAddress() {
        return origin.listener().addresses().get(0);
    }

    /** The relay of datagrams between proxies, or null if they have no peers. */
    public PeerRelay peers() {
        return peers;
    }

    /** The counters of each proxy by second so far. */
    public List<Series.Row> rows() {
        return on(series::rows);
    }

    /** Totals over all proxies by tenths of a second so far, indexed by {@link Series.What#ordinal}. */
    public List<long[]> tenths() {
        return on(series::tenths);
    }

    /** Updates the counters on the event loop; does not block. */
    public void count(Consumer<Series> what) {
        loop.execute(() -> what.accept(series));
    }

    /**
     * The loopback address of this proxy's emulated machine. It is not shared, so that no other socket can take the
     * proxy's port while the proxy is down.
     */
    public InetAddress host(int proxy) {
        return Hosts.of(number, proxy);
    }

    /** Discovery's address for this proxy; {@code turn} alternates between its two addresses. */
    public InetSocketAddress discovery(int proxy, int turn) {
        return discovery.listener().addresses().get(turn % DiscoveryServer.ADDRESSES * spec.proxies() + proxy);
    }

    /** The current host list as discovery would send it to this proxy. */
    public JsonObject known(int proxy) {
        return on(() -> DiscoveryServer.json(proxy, hostList.seq(), hostList.whole(), true));
    }

    /** The oracle's verdict so far. */
    public Oracle.Verdict verdict() {
        return on(oracle::verdict);
    }

    /** Waits for the answer grace of the last requests to end, so that the verdict is complete. */
    public void awaitGrace() {
        loop.schedule(() -> {}, (long) spec.answerGraceMs() + 200, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    /** The number of fetches that the origin has served so far. */
    public long fetches() {
        return on(origin::fetches);
    }

    /** Reports to the oracle on the event loop; does not block. */
    public void tell(Consumer<Oracle> what) {
        loop.execute(() -> what.accept(oracle));
    }

    /** The time in milliseconds since the start. */
    public double now() {
        return at(System.nanoTime());
    }

    /** Converts a {@link System#nanoTime()} to milliseconds since the start. */
    public double at(long nanos) {
        return (nanos - startNanos) / 1e6;
    }

    /** The event loop of the whole fleet. */
    public EventLoop loop() {
        return loop;
    }

    /** Runs a task on the event loop and blocks for its result; not to be called on the event loop. */
    public <T> T on(Callable<T> what) {
        return loop.submit(what).syncUninterruptibly().getNow();
    }

    /**
     * Schedules faults, with times relative to now. The future completes once the faults that are due now have been
     * applied. Those are not scheduled with a timer, as an event loop may run a task that is submitted later before a
     * timer that is due.
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

    /** Schedules a link fault, with its time relative to now. */
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

    /** Applies the current link conditions to all emulated servers. */
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

    // ---- for the emulated servers, on the event loop

    Oracle oracle() {
        return oracle;
    }

    OriginServer origin() {
        return origin;
    }

    Series series() {
        return series;
    }

    /** Work of a request, in milliseconds at speed 1. Derived from its id, so that it is the same at every node. */
    double work(String id, String extras) {
        return spec.workMs() * classWork.getOrDefault(String.valueOf(MetaCommand.named(extras, "c")), 1.0) * draw(id);
    }

    double originWork(String id) {
        return spec.originMs() * draw(id + "o");
    }

    /** A factor of mean 1: half of it fixed, half exponentially distributed. */
    private double draw(String id) {
        double u = (Keys.mix(id.hashCode() * 0x9e3779b97f4a7c15L ^ spec.seed()) >>> 11) * 0x1.0p-53;
        return 0.5 - 0.5 * Math.log(1 - u);
    }

    /** Records a miss at a node; returns whether a fetch of the key is already pending. */
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

    /** Stores a value that the origin returned for a request at the nodes where that request missed. */
    void fetched(String key, String id, long version) {
        Missed m = misses.remove(id);
        if (m != null) {
            fetching.computeIfPresent(m.key(), (k, n) -> n > 1 ? n - 1 : null);
            m.nodes().forEach(n -> n.fill(key, version));
        }
    }

    void invalidate(String key) {
        nodes.values().forEach(n -> n.drop(key));
    }

    void pushedOver(CacheNode node) {
        oracle.pushedOver(node.name(), now());
        node.crash();
        notice(node.name(), HostList.Health.REMOVED);
    }

    // ---- faults

    private void after(double ms, Runnable task) {
        loop.schedule(task, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    private void notice(String name, HostList.Health health) {
        after(spec.noticeMs(), () -> {
            hostList.health(name, health);
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

    /** Whether messages between discovery and a proxy arrive, though perhaps late. */
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
                node.crash();
                notice(node.name(), HostList.Health.REMOVED);
            }
            case DRAIN -> notice(node.name(), HostList.Health.DRAINING);
            case RESTART -> {
                node.crash();
                after(
                        f.forMs(),
                        () -> node.restart(() -> {
                            HostList.Host host = hostList.get(node.name()).born(startUnixMs + (long) now());
                            after(spec.noticeMs(), () -> {
                                hostList.put(host);
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

package cacheproxy.proxy;

import cacheproxy.metrics.Metric;
import cacheproxy.metrics.MetricsLine;
import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.routing.EndpointLocation;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.RoutingSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** The servers of the list with our connections to them, and what bounds these over all servers. */
public final class Servers {
    private static final double AVOIDED_MS = 1000;
    /** To one cache node, ordinarily and with those that pass long answers on. */
    private static final int CONNECTIONS = 4;

    private static final int CONNECTIONS_IN_ALL = 12;
    /** Our connections are ended at this part of the time after which a server ends them. */
    private static final double RETIRE_AT = 0.7;
    /** So long after one had no place, servers are taken to have few: some rounds of trying them again. */
    private static final double SCARCE_MS = 60_000;
    /** Of the servers, two at least, so many must have had no place. */
    private static final double SCARCE_PART = 0.1;

    private static final double CLOSES_PER_SECOND = 10;
    private static final double CLOSES_SAVED = 10;

    private final Dispatcher dispatcher;
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private final IntObjectHashMap<Upstream> servers = new IntObjectHashMap<>();
    /** What the list has no more, until what waits there is taken back. */
    private final List<Upstream> forgotten = new ArrayList<>();

    private double closes = CLOSES_SAVED;
    private double closesAtMs;
    private int connections;
    private double scarceUntilMs = Double.NEGATIVE_INFINITY;

    /** {@code maxConnections}: to all servers together. */
    Servers(Dispatcher dispatcher, Bootstrap bootstrap, int maxConnections) {
        this.dispatcher = dispatcher;
        this.bootstrap = bootstrap;
        this.maxConnections = maxConnections;
    }

    /** One of the list; null if it is not in it. */
    Upstream get(int id) {
        return servers.get(id);
    }

    /** Takes news of the list: who is new, gone, or at another address. */
    void listed(EndpointUpdateKind kind, List<DiscoveredEndpoint> hosts, int streams) {
        for (DiscoveredEndpoint h : hosts) {
            int id = h.endpoint().id();
            if (h.endpoint().state() == EndpointState.REMOVED) {
                forget(id);
                continue;
            }
            Upstream u = servers.get(id);
            if (u == null) {
                u = added(h, streams);
            }
            if (!h.address().equals(u.dial) || u.bornMs != h.endpoint().startTimeMs()) {
                u.retire();
            }
            u.dial = h.address();
            u.bornMs = h.endpoint().startTimeMs();
            u.startedMs = h.endpoint().localStartTimeMs();
            u.place = new EndpointLocation(h.endpoint().zone(), h.endpoint().cell());
            u.ready = h.endpoint().state() == EndpointState.READY;
        }
        if (kind.isSnapshot()) {
            Set<Integer> named = new HashSet<>();
            hosts.forEach(h -> named.add(h.endpoint().id()));
            for (Integer id : List.copyOf(servers.keySet())) {
                if (!named.contains(id)) {
                    forget(id);
                }
            }
        }
    }

    private Upstream added(DiscoveredEndpoint h, int streams) {
        RoutingSettings settings = dispatcher.settings();
        boolean origin = settings.cacheAside() && h.endpoint().kind() == settings.originKind();
        int id = h.endpoint().id();
        Upstream u = origin
                ? new Upstream(id, true, dispatcher, bootstrap, originConnections(), originConnections(), 1)
                : new Upstream(
                        id,
                        false,
                        dispatcher,
                        bootstrap,
                        cacheConnections(CONNECTIONS),
                        cacheConnections(CONNECTIONS_IN_ALL),
                        streams);
        servers.put(id, u);
        return u;
    }

    private void forget(int id) {
        Upstream u = servers.remove(id);
        if (u != null) {
            u.ready = false;
            u.retire();
            forgotten.add(u);
        }
    }

    /** Takes back what has not begun to go out to servers that want nothing new; once the module knows of that. */
    void withdraw() {
        Stream.concat(servers.values().stream(), forgotten.stream()).toList().forEach(Upstream::withdraw);
        forgotten.clear();
    }

    /**
     * Servers accept some forty connections each, for all proxies together. Where second copies are forbidden only what
     * has a connection of its own can be given up for another server, so there it is as many as a server has places
     * for.
     */
    private int cacheConnections(int most) {
        RoutingSettings settings = dispatcher.settings();
        return settings.hedgingAllowed()
                ? Math.max(1, Math.min(most, 28 / Math.max(1, settings.instanceCount())))
                : CONNECTIONS_IN_ALL;
    }

    private int originConnections() {
        return Math.max(4, Math.min(48, 240 / Math.max(1, dispatcher.settings().instanceCount())));
    }

    // ---- bounds

    /** A server had no place for a further connection; one by itself may be at its limit for reasons of its own. */
    void turnedAway() {
        dispatcher.counters().increment(Metric.CONNECTIONS_REJECTED);
        double since = dispatcher.now() - SCARCE_MS;
        long full = cacheNodes().filter(u -> u.turnedAwayMs() > since).count();
        if (full >= Math.max(2, discovered() * SCARCE_PART)) {
            scarceUntilMs = dispatcher.now() + SCARCE_MS;
        }
    }

    /** Whether servers have too few places for all proxies, so that each should be content with one. */
    boolean scarce() {
        return dispatcher.now() < scarceUntilMs;
    }

    /** Whether one more connection may be closed only because nobody waits for what is on it. */
    boolean mayClose() {
        double now = dispatcher.now();
        closes = Math.min(CLOSES_SAVED, closes + (now - closesAtMs) / 1000 * CLOSES_PER_SECOND);
        closesAtMs = now;
        if (closes < 1 && dispatcher.settings().hedgingAllowed()) {
            return false;
        }
        closes--;
        return true;
    }

    /**
     * Whether one more connection may be opened. Where a server has none, the connection that has stood idle longest is
     * ended for it: guards against servers that can't be reached as others, as many as may be connected to, have been.
     */
    boolean room(boolean first) {
        return connections < maxConnections || (first && endLongestIdle());
    }

    /** Its descriptor is free from here on; it counts until the event loop has come round. */
    private boolean endLongestIdle() {
        UpstreamConnection longest = null;
        for (Upstream u : servers.values()) {
            UpstreamConnection c = u.longestIdle();
            if (c != null && (longest == null || c.idleSinceMs() < longest.idleSinceMs())) {
                longest = c;
            }
        }
        if (longest == null) {
            return false;
        }
        longest.close();
        return true;
    }

    /** Connections that are open or being opened. */
    public int connections() {
        return connections;
    }

    void opened() {
        connections++;
        dispatcher.counters().increment(Metric.CONNECTIONS_OPENED);
    }

    void closed() {
        connections--;
    }

    /** A connection that has stood idle since then is not used any more, as its server may end it. */
    double idleBeforeMs(double now) {
        return now - dispatcher.idleCloseMs() * RETIRE_AT;
    }

    void sweep() {
        double now = dispatcher.now();
        for (Upstream u : servers.values()) {
            u.closeIdle(idleBeforeMs(now));
            u.sweep(now);
        }
    }

    /** Ends all connections. */
    void close() {
        servers.values().forEach(Upstream::close);
    }

    // ---- figures

    /** The cache nodes of the list. */
    public int discovered() {
        return (int) cacheNodes().count();
    }

    /** Those of them that get no ordinary request now, and have got nothing for a while: not even to be tried again. */
    public int ejected() {
        double now = dispatcher.now();
        return (int) cacheNodes()
                .filter(u -> now - u.sentMs() > AVOIDED_MS && dispatcher.isEjected(u.id))
                .count();
    }

    /** Those of them that are avoided, or had no place for a connection. */
    List<MetricsLine.Node> troubled() {
        return cacheNodes()
                .filter(u -> u.turnedAwayTimes() > 0 || dispatcher.isEjected(u.id))
                .limit(MetricsLine.MAX_NODES)
                .map(u -> new MetricsLine.Node(
                        Integer.toHexString(u.id), u.openedTimes(), u.turnedAwayTimes(), dispatcher.isEjected(u.id)))
                .toList();
    }

    /** The cache nodes of the list with our connections to them. */
    List<Upstream> nodes() {
        return cacheNodes().toList();
    }

    /** The cache nodes of a zone. */
    int inZone(int zone) {
        return (int) cacheNodes().filter(u -> u.place.zone() == zone).count();
    }

    /** When each of a zone's cache nodes that may be sent requests is warm, in order, in milliseconds. */
    List<Double> warmAt(int zone, double warmUpMs) {
        return cacheNodes()
                .filter(u -> u.place.zone() == zone && u.ready)
                .map(u -> u.startedMs == 0 ? 0 : u.startedMs + warmUpMs)
                .sorted()
                .toList();
    }

    private Stream<Upstream> cacheNodes() {
        return servers.values().stream().filter(u -> !u.origin);
    }
}

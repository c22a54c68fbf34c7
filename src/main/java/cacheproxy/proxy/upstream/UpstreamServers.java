package cacheproxy.proxy.upstream;

import cacheproxy.metrics.Metric;
import cacheproxy.metrics.MetricsLine;
import cacheproxy.proxy.discovery.DiscoveredEndpoint;
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

/** The servers of the endpoint list, with the connections to them. Event loop only. */
public final class UpstreamServers {
    /**
     * A cache node that is avoided and has been sent nothing for this time, in milliseconds, not even a trial request,
     * counts as ejected.
     */
    private static final double EJECTED_SILENCE_MS = 1000;
    /**
     * Connections are scarce if at least this many cache nodes reject them, and at least the next constant's fraction
     * of all.
     */
    private static final int MIN_REJECTING_NODES = 2;

    private static final double MIN_REJECTING_FRACTION = 0.1;

    private final UpstreamContext context;
    private final Bootstrap bootstrap;
    private final ConnectionLimits limits;
    private final IntObjectHashMap<UpstreamServer> servers = new IntObjectHashMap<>();
    /** Servers that are no longer in the list, kept until attempts that wait for them are ended. */
    private final List<UpstreamServer> removed = new ArrayList<>();

    /** {@code maxConnections}: the limit over all servers. */
    public UpstreamServers(UpstreamContext context, Bootstrap bootstrap, int maxConnections) {
        this.context = context;
        this.bootstrap = bootstrap;
        limits = new ConnectionLimits(context, maxConnections, this::longestIdleConnection);
    }

    /** The server of this id; null if it is not in the list. */
    public UpstreamServer get(int id) {
        return servers.get(id);
    }

    // ---- updates of the list

    /** Applies an update of the list; {@code streams}: the limit of attempts on a connection to a cache node. */
    public void update(EndpointUpdateKind kind, List<DiscoveredEndpoint> endpoints, int streams) {
        for (DiscoveredEndpoint discovered : endpoints) {
            int id = discovered.endpoint().id();
            if (discovered.endpoint().state() == EndpointState.REMOVED) {
                remove(id);
            } else {
                UpstreamServer known = servers.get(id);
                UpstreamServer server = known != null ? known : add(discovered, streams);
                server.update(discovered);
            }
        }
        if (kind.isSnapshot()) {
            removeAllBut(endpoints);
        }
    }

    private UpstreamServer add(DiscoveredEndpoint discovered, int streams) {
        RoutingSettings settings = context.settings();
        int id = discovered.endpoint().id();
        boolean origin = settings.cacheAside() && discovered.endpoint().kind() == settings.originKind();
        UpstreamServer server = new UpstreamServer(
                id,
                origin,
                context,
                bootstrap,
                limits,
                origin ? limits.origin() : limits.cacheNode(streams),
                this::connectionRejected);
        servers.put(id, server);
        return server;
    }

    private void removeAllBut(List<DiscoveredEndpoint> endpoints) {
        Set<Integer> listed = new HashSet<>();
        endpoints.forEach(discovered -> listed.add(discovered.endpoint().id()));
        for (Integer id : List.copyOf(servers.keySet())) {
            if (!listed.contains(id)) {
                remove(id);
            }
        }
    }

    private void remove(int id) {
        UpstreamServer server = servers.remove(id);
        if (server != null) {
            server.removed();
            removed.add(server);
        }
    }

    /**
     * Ends attempts that wait for connections to servers which take no new requests. To be called once the load
     * balancer has been given the update.
     */
    public void endUnsent() {
        Stream.concat(servers.values().stream(), removed.stream()).toList().forEach(server -> server.pool.endUnsent());
        removed.clear();
    }

    // ---- connections

    /**
     * Handles a connection that a server rejected because it is at its limit. A single such server may have reasons of
     * its own, so connections count as scarce only if several do so.
     */
    private void connectionRejected() {
        context.increment(Metric.CONNECTIONS_REJECTED);
        double since = limits.scarcityWindowStartMs();
        long rejecting = cacheNodeStream()
                .filter(server -> server.pool.lastRejectedMs() > since)
                .count();
        if (rejecting >= Math.max(MIN_REJECTING_NODES, cacheNodeCount() * MIN_REJECTING_FRACTION)) {
            limits.markConnectionsScarce();
        }
    }

    private UpstreamConnection longestIdleConnection() {
        UpstreamConnection longest = null;
        for (UpstreamServer server : servers.values()) {
            UpstreamConnection connection = server.pool.longestIdle();
            if (connection != null && (longest == null || connection.idleSinceMs() < longest.idleSinceMs())) {
                longest = connection;
            }
        }
        return longest;
    }

    /** Connections that are open or being opened. */
    public int connections() {
        return limits.connections();
    }

    /** Closes connections that have been idle too long, or whose response has stalled. */
    public void closeIdleAndStalled() {
        double now = context.now();
        for (UpstreamServer server : servers.values()) {
            server.pool.closeIdle(limits.idleCutoffMs(now));
        }
        limits.openConnections().forEach(connection -> connection.closeIfStalled(now));
    }

    /** Closes all connections. */
    public void close() {
        limits.openConnections().forEach(UpstreamConnection::close);
    }

    // ---- cache nodes: state and metrics

    /** How many cache nodes the list has. */
    public int cacheNodeCount() {
        return (int) cacheNodeStream().count();
    }

    /** How many of them are currently sent no ordinary requests and have been sent nothing for a while. */
    public int ejectedNodeCount() {
        double now = context.now();
        return (int) cacheNodeStream()
                .filter(server -> now - server.pool.lastSentMs() > EJECTED_SILENCE_MS && context.isAvoided(server.id))
                .count();
    }

    /** Metrics of those that are ejected or have rejected connections, {@link MetricsLine#MAX_NODES} at most. */
    public List<MetricsLine.Node> unhealthyNodes() {
        return cacheNodeStream()
                .filter(server -> server.pool.rejectedConnections() > 0 || context.isAvoided(server.id))
                .limit(MetricsLine.MAX_NODES)
                .map(server -> new MetricsLine.Node(
                        Integer.toHexString(server.id),
                        server.pool.openedConnections(),
                        server.pool.rejectedConnections(),
                        context.isAvoided(server.id)))
                .toList();
    }

    /** The cache nodes of the list; a copy. */
    public List<UpstreamServer> cacheNodes() {
        return cacheNodeStream().toList();
    }

    /** How many cache nodes a zone has. */
    public int cacheNodesInZone(int zone) {
        return (int) cacheNodeStream()
                .filter(server -> server.location.zone() == zone)
                .count();
    }

    /** When each of a zone's ready cache nodes is warmed up, on the clock of {@link UpstreamContext#now}, in order. */
    public List<Double> warmedUpAtMs(int zone, double warmUpMs) {
        return cacheNodeStream()
                .filter(server -> server.location.zone() == zone && server.ready)
                .map(server -> server.warmedUpAtMs(warmUpMs))
                .sorted()
                .toList();
    }

    private Stream<UpstreamServer> cacheNodeStream() {
        return servers.values().stream().filter(server -> !server.origin);
    }
}

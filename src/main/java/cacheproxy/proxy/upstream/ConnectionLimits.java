package cacheproxy.proxy.upstream;

import cacheproxy.metrics.Metric;
import cacheproxy.routing.RoutingSettings;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Limits the connections to all servers together, and this proxy's share of those that each server accepts. Event loop
 * only.
 */
final class ConnectionLimits {
    /**
     * The usual limit of connections to one cache node; the next constant includes connections that stream responses.
     */
    private static final int PER_CACHE_NODE = 4;

    private static final int PER_CACHE_NODE_WITH_STREAMING = 12;
    /** Connections that one cache node accepts from all proxies, about 40, less a reserve. */
    private static final int CACHE_NODE_CAPACITY = 28;

    private static final int MIN_TO_ORIGIN = 4;
    private static final int MAX_TO_ORIGIN = 48;
    /** Connections that the origin accepts from all proxies, less a reserve. */
    private static final int ORIGIN_CAPACITY = 240;

    /** The limit including connections that are quiet, as a multiple of the usual one. */
    private static final int ORIGIN_FACTOR_WITH_QUIET = 3;

    /** Attempts on one connection to the origin: HTTP/1.1 without pipelining. */
    private static final int ORIGIN_DEPTH = 1;
    /** An idle connection is closed after this fraction of its server's idle timeout. */
    private static final double IDLE_CLOSE_FRACTION = 0.7;
    /** How long connections count as scarce after rejections, in milliseconds. */
    private static final double SCARCITY_MS = 60_000;
    /** Token bucket for closing connections because nobody waits for their responses. */
    private static final double ABANDONED_CLOSES_PER_SECOND = 10;

    private static final double ABANDONED_CLOSES_BURST = 10;
    private static final double MILLIS_PER_SECOND = 1000;

    private final UpstreamContext context;
    private final int maxConnections;
    private final Supplier<UpstreamConnection> longestIdle;
    /** All that are open or being opened, whether or not the list still has their servers. */
    private final Set<UpstreamConnection> connections = new LinkedHashSet<>();

    private double scarceUntilMs = Double.NEGATIVE_INFINITY;
    private double abandonedCloseTokens = ABANDONED_CLOSES_BURST;
    private double tokensRefilledMs;

    /**
     * Creates limits with no connections yet.
     *
     * @param maxConnections the limit over all servers
     * @param longestIdle the connection that has been idle longest; null if none is idle
     */
    ConnectionLimits(UpstreamContext context, int maxConnections, Supplier<UpstreamConnection> longestIdle) {
        this.context = context;
        this.maxConnections = maxConnections;
        this.longestIdle = longestIdle;
    }

    /** The limits of one cache node; {@code depth}: of attempts on one connection. */
    ServerConnectionPool.Limits cacheNode(int depth) {
        return new ServerConnectionPool.Limits(
                perCacheNode(PER_CACHE_NODE), perCacheNode(PER_CACHE_NODE_WITH_STREAMING), depth);
    }

    /**
     * The limit for this proxy's share. Where hedging is not allowed, an attempt can be abandoned in favor of another
     * server only if it has a connection of its own, so the limit includes streaming and does not depend on the number
     * of instances.
     */
    private int perCacheNode(int max) {
        RoutingSettings settings = context.settings();
        return settings.hedgingAllowed()
                ? Math.max(1, Math.min(max, CACHE_NODE_CAPACITY / Math.max(1, settings.instanceCount())))
                : PER_CACHE_NODE_WITH_STREAMING;
    }

    /** The limits of the origin. */
    ServerConnectionPool.Limits origin() {
        int instances = Math.max(1, context.settings().instanceCount());
        int max = Math.max(MIN_TO_ORIGIN, Math.min(MAX_TO_ORIGIN, ORIGIN_CAPACITY / instances));
        return new ServerConnectionPool.Limits(max, ORIGIN_FACTOR_WITH_QUIET * max, ORIGIN_DEPTH);
    }

    /** Connections that are open or being opened. */
    int connections() {
        return connections.size();
    }

    /** A copy of the connections that are open or being opened, whether or not the list still has their servers. */
    List<UpstreamConnection> openConnections() {
        return List.copyOf(connections);
    }

    void connectionOpened(UpstreamConnection connection) {
        connections.add(connection);
        context.increment(Metric.CONNECTIONS_OPENED);
    }

    void connectionClosed(UpstreamConnection connection) {
        connections.remove(connection);
    }

    /**
     * Whether one more connection may be opened. For the {@code first} one to a server, the connection that has been
     * idle longest is closed if necessary, so that connections to other servers never make a server unreachable. Its
     * descriptor is free then, but it still counts until the next event loop iteration.
     */
    boolean mayOpen(boolean first) {
        return connections.size() < maxConnections || (first && closeLongestIdle());
    }

    private boolean closeLongestIdle() {
        UpstreamConnection longest = longestIdle.get();
        if (longest == null) {
            return false;
        }
        longest.close();
        return true;
    }

    /** Marks connections as scarce for a while, because too many servers are at their connection limit. */
    void markConnectionsScarce() {
        scarceUntilMs = context.now() + SCARCITY_MS;
    }

    /** A server that rejected a connection since this time counts towards scarcity. */
    double scarcityWindowStartMs() {
        return context.now() - SCARCITY_MS;
    }

    /**
     * Whether cache nodes accept too few connections for all proxies, so that each proxy should have only one per cache
     * node.
     */
    boolean connectionsScarce() {
        return context.now() < scarceUntilMs;
    }

    /** Whether one more connection may be closed only because nobody waits for its responses; takes a token if so. */
    boolean mayCloseAbandoned() {
        double now = context.now();
        abandonedCloseTokens = Math.min(
                ABANDONED_CLOSES_BURST,
                abandonedCloseTokens + (now - tokensRefilledMs) / MILLIS_PER_SECOND * ABANDONED_CLOSES_PER_SECOND);
        tokensRefilledMs = now;
        if (abandonedCloseTokens < 1 && context.settings().hedgingAllowed()) {
            return false;
        }
        abandonedCloseTokens--;
        return true;
    }

    /** A connection that has been idle since this time is not used any more, because its server may close it. */
    double idleCutoffMs(double now) {
        return now - context.idleCloseMs() * IDLE_CLOSE_FRACTION;
    }
}

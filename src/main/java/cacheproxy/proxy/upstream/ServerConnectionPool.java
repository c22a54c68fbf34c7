package cacheproxy.proxy.upstream;

import cacheproxy.proxy.transport.HandlerInitializer;
import cacheproxy.proxy.transport.TurnedReading;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The connections to one server. An attempt takes the most recently used idle connection, so that the others can reach
 * their idle timeout; else a new one, up to a limit; else the one with the fewest attempts. Event loop only.
 */
public final class ServerConnectionPool {
    private static final int TYPICAL_CONNECTIONS = 2;
    /** How long no connection is opened beside others after the server has refused a further one, in milliseconds. */
    private static final double REJECTION_BACKOFF_MS = 5000;

    /**
     * How many connections a pool may have, and how many attempts they may take.
     *
     * @param maxConnections the limit of connections
     * @param maxWithUnavailable the limit including connections that stream responses or are quiet
     * @param maxDepth the limit of attempts on one connection
     */
    record Limits(int maxConnections, int maxWithUnavailable, int maxDepth) {}

    private final UpstreamServer server;
    private final UpstreamContext context;
    private final Bootstrap bootstrap;
    private final ConnectionLimits globalLimits;
    private final Limits limits;
    private final Runnable onConnectionRejected;
    private final List<UpstreamConnection> connections = new ArrayList<>(TYPICAL_CONNECTIONS);
    private double openingSuspendedUntilMs;
    private double lastSentMs = Double.NEGATIVE_INFINITY;
    private double lastRejectedMs = Double.NEGATIVE_INFINITY;
    private long rejectedConnections;
    private long openedConnections;

    /** {@code onConnectionRejected}: runs when the server has rejected a connection because it is at its limit. */
    ServerConnectionPool(
            UpstreamServer server,
            UpstreamContext context,
            Bootstrap bootstrap,
            ConnectionLimits globalLimits,
            Limits limits,
            Runnable onConnectionRejected) {
        this.server = server;
        this.context = context;
        this.bootstrap = bootstrap;
        this.globalLimits = globalLimits;
        this.limits = limits;
        this.onConnectionRejected = onConnectionRejected;
    }

    boolean isOrigin() {
        return server.origin;
    }

    /** The connections that an attempt may be sent on, found in one pass. */
    private static final class Candidates {
        /** The best usable connection that does not stream; null if there is none. */
        private UpstreamConnection best;
        /** The best usable connection that streams; null if there is none. */
        private UpstreamConnection bestStreaming;

        private int all;
        private int notStreaming;
        /** How many have attempts on them that are not waiting for the end of a quiet period. */
        private int inUse;

        private int quietUnused;
        /** How many quiet connections have an attempt waiting. */
        private int quietAwaited;

        private void count(UpstreamConnection connection) {
            if (connection.isRetired()) {
                return;
            }
            boolean used = connection.depth() > 0;
            all++;
            notStreaming += connection.isStreaming() ? 0 : 1;
            inUse += used && !connection.isQuiet() ? 1 : 0;
            quietUnused += connection.isQuiet() && !used ? 1 : 0;
            quietAwaited += connection.isQuiet() && used ? 1 : 0;
        }
    }

    /**
     * Sends an attempt; false if no connection can take it. An attempt that is sent behind a streamed response waits
     * until the client has read that response, so a streaming connection is the last resort and does not count against
     * the usual limit.
     */
    public boolean send(UpstreamAttempt attempt) {
        double now = context.now();
        Candidates candidates = findCandidates(now);
        if (isOrigin() && candidates.inUse >= limits.maxConnections()) {
            return false;
        }
        UpstreamConnection chosen = shouldOpen(candidates, now) ? open() : candidates.best;
        if (chosen == null) {
            chosen = candidates.bestStreaming;
        }
        if (chosen == null) {
            return false;
        }
        lastSentMs = now;
        chosen.send(attempt);
        return true;
    }

    private Candidates findCandidates(double now) {
        double idleCutoffMs = globalLimits.idleCutoffMs(now);
        Candidates found = new Candidates();
        for (int i = connections.size() - 1; i >= 0; i--) {
            UpstreamConnection connection = connections.get(i);
            found.count(connection);
            if (!connection.isUsable(limits.maxDepth(), idleCutoffMs)) {
                continue;
            }
            if (!connection.isStreaming()) {
                found.best = found.best == null || isPreferred(connection, found.best) ? connection : found.best;
            } else if (found.bestStreaming == null || isPreferred(connection, found.bestStreaming)) {
                found.bestStreaming = connection;
            }
        }
        return found;
    }

    /**
     * Whether to open a connection: none is usable, or the best one has attempts on it or is quiet. Where no more may
     * be opened, the attempt waits on the one that has been quiet longest. Quiet connections count against the usual
     * limit only while no attempt is in flight or waiting: otherwise attempts come faster than quiet periods end.
     */
    private boolean shouldOpen(Candidates candidates, double now) {
        UpstreamConnection best = candidates.best;
        boolean wanted = best == null || ((best.depth() > 0 || best.isQuiet()) && now >= openingSuspendedUntilMs);
        if (!wanted) {
            return false;
        }
        int maxConnections =
                best != null && !isOrigin() && globalLimits.connectionsScarce() ? 1 : limits.maxConnections();
        boolean busy = candidates.inUse + candidates.quietAwaited > 0;
        int counted = candidates.notStreaming - (busy ? candidates.quietUnused : 0);
        return counted < maxConnections
                && candidates.all < limits.maxWithUnavailable()
                && globalLimits.mayOpen(best == null && candidates.bestStreaming == null);
    }

    /**
     * Whether an attempt should rather be sent on one connection than on another: because the other is quiet, has more
     * attempts or, with as many, was used less recently. Of two quiet ones, that which was used less recently is
     * preferred.
     */
    private static boolean isPreferred(UpstreamConnection one, UpstreamConnection other) {
        if (one.isQuiet() != other.isQuiet()) {
            return other.isQuiet();
        }
        if (one.depth() != other.depth()) {
            return one.depth() < other.depth();
        }
        return one.isQuiet() ? one.idleSinceMs() < other.idleSinceMs() : one.idleSinceMs() > other.idleSinceMs();
    }

    private UpstreamConnection open() {
        TurnedReading reading = new TurnedReading(context.inputTurns(), false);
        UpstreamConnection connection = new UpstreamConnection(this, context, reading);
        connections.add(connection);
        globalLimits.connectionOpened(connection);
        openedConnections++;
        ChannelFuture future = bootstrap
                .clone()
                .handler(new HandlerInitializer(handlers(reading, connection)))
                .option(ChannelOption.RECVBUF_ALLOCATOR, reading.reads())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        context.settings().connectTimeoutMs())
                .option(ChannelOption.AUTO_READ, false) // until the connection takes attempts
                .connect(server.address);
        connection.connectStarted(future, server.address);
        return connection;
    }

    private ChannelHandler[] handlers(TurnedReading reading, UpstreamConnection connection) {
        List<ChannelHandler> handlers = new ArrayList<>(List.of(reading));
        handlers.addAll(isOrigin() ? OriginCodec.handlers(connection) : List.of(new CacheCodec(connection)));
        return handlers.toArray(ChannelHandler[]::new);
    }

    /**
     * Sends an attempt on another connection because its own ended while the attempt waited; false if none can take it.
     */
    boolean resend(UpstreamAttempt attempt) {
        return server.ready && (attempt.isHealthCheck() || attempt.mayBegin()) && send(attempt);
    }

    /**
     * Sends an attempt on another connection because its own could not be opened; false if there is none. While others
     * are open, the failure means that the server is at its connection limit, not that it is unhealthy.
     */
    boolean resendAfterFailedConnect(UpstreamAttempt attempt) {
        double now = context.now();
        UpstreamConnection best = bestConnected(now);
        if (best == null || !attempt.mayBegin()) {
            return false;
        }
        openingSuspendedUntilMs = now + REJECTION_BACKOFF_MS;
        best.send(attempt);
        return true;
    }

    private UpstreamConnection bestConnected(double now) {
        double idleCutoffMs = globalLimits.idleCutoffMs(now);
        UpstreamConnection best = null;
        for (UpstreamConnection connection : connections) {
            if (server.ready
                    && connection.isConnected()
                    && connection.isUsable(limits.maxDepth(), idleCutoffMs)
                    && (best == null || isPreferred(connection, best))) {
                best = connection;
            }
        }
        return best;
    }

    /**
     * Records that the server rejected a new connection because it is at its limit. Returns whether there is no other
     * connection to it.
     */
    boolean connectionRejected() {
        lastRejectedMs = context.now();
        rejectedConnections++;
        onConnectionRejected.run();
        openingSuspendedUntilMs = context.now() + REJECTION_BACKOFF_MS;
        return connections.isEmpty();
    }

    /** Whether one more connection may be closed only because nobody waits for its responses. */
    boolean mayCloseAbandoned() {
        return globalLimits.mayCloseAbandoned();
    }

    /** Removes a connection that has ended or was never opened. */
    void connectionClosed(UpstreamConnection connection) {
        if (connections.remove(connection)) {
            globalLimits.connectionClosed(connection);
        }
    }

    /** Closes connections that have been idle since this time. */
    public void closeIdle(double sinceMs) {
        for (UpstreamConnection connection : List.copyOf(connections)) {
            if (connection.depth() == 0 && connection.idleSinceMs() <= sinceMs) {
                connection.close();
            }
        }
    }

    /** The connection that has been idle longest; null if none is idle. */
    UpstreamConnection longestIdle() {
        UpstreamConnection longest = null;
        for (UpstreamConnection connection : connections) {
            if (connection.isIdle() && (longest == null || connection.idleSinceMs() < longest.idleSinceMs())) {
                longest = connection;
            }
        }
        return longest;
    }

    /**
     * Closes the current connections: idle ones immediately, the others after their last response. For a server whose
     * address or process has changed, or that is no longer in the list.
     */
    void retire() {
        List.copyOf(connections).forEach(UpstreamConnection::retire);
    }

    /**
     * Ends attempts that wait for a connection to open, if the server takes no new requests or is no longer at the
     * connection's address. Otherwise they would be sent whenever that connection opens.
     */
    void endUnsent() {
        for (UpstreamConnection connection : List.copyOf(connections)) {
            if (!server.ready || connection.isRetired()) {
                connection.endUnsent();
            }
        }
    }

    /** When an attempt was last sent, on the clock of {@link UpstreamContext#now}. */
    double lastSentMs() {
        return lastSentMs;
    }

    /** When the server last rejected a connection, on the same clock. */
    double lastRejectedMs() {
        return lastRejectedMs;
    }

    /** How many connections the server has rejected. */
    long rejectedConnections() {
        return rejectedConnections;
    }

    /** How many connections were opened, including those that failed to open. */
    public long openedConnections() {
        return openedConnections;
    }
}

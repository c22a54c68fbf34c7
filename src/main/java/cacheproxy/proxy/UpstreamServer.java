package cacheproxy.proxy;

import cacheproxy.admission.SafetyRules;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A server of the list with our connections to it. An attempt takes the connection that was used last of those that
 * stand idle, so that the rest can age and be retired; else it opens one, up to a limit, or queues behind the fewest.
 */
final class UpstreamServer {
    private static final double NO_MORE_MS = 5000;
    /**
     * A connection to the origin rests for so long after an answer. HTTP names no request, so a second copy of the
     * answer, which comes some milliseconds behind it, would be taken for the answer to what was put there in between;
     * on one that rests it is seen to belong to nothing. Cache nodes' answers name their requests.
     */
    private static final double REST_MS = 25;

    final int id;
    final boolean origin;
    SocketAddress address;
    double startTimeMs;
    /** The same on the clock of {@link Dispatcher#now}. */
    double localStartTimeMs;

    SafetyRules.Location location;
    /** Whether the list has it take new requests. */
    boolean ready;
    /** When something was last put on a connection to it. */
    private double lastSentMs = Double.NEGATIVE_INFINITY;

    private double noMoreUntilMs;
    private double lastRejectedMs = Double.NEGATIVE_INFINITY;
    private long turnedAway;
    private long opened;
    private final Dispatcher dispatcher;
    private final Bootstrap bootstrap;
    private final int maxConnections;
    /** With those that pass long answers on. */
    private final int mostConnections;

    private final int maxDepth;
    private final List<UpstreamConnection> connections = new ArrayList<>(2);

    UpstreamServer(
            int id,
            boolean origin,
            Dispatcher dispatcher,
            Bootstrap bootstrap,
            int maxConnections,
            int mostConnections,
            int maxDepth) {
        this.id = id;
        this.origin = origin;
        this.dispatcher = dispatcher;
        this.bootstrap = bootstrap;
        this.maxConnections = maxConnections;
        this.mostConnections = mostConnections;
        this.maxDepth = maxDepth;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Sends the attempt; false if no connection has room for it. What is put behind a long answer waits as long as its
     * client takes to read it, so such a connection is the last resort, and one more is opened in its place. One more
     * is opened, too, where the others should rest; where there can be no more, the one that has rested longest is
     * used.
     */
    boolean send(RequestAttempt attempt) {
        UpstreamConnection best = null;
        UpstreamConnection busy = null;
        double now = dispatcher.now();
        double idleBeforeMs = dispatcher.servers().idleBeforeMs(now);
        int standing = 0;
        int all = 0;
        for (int i = connections.size() - 1; i >= 0; i--) {
            UpstreamConnection c = connections.get(i);
            standing += c.isRetired() || c.isStreaming() ? 0 : 1;
            all += c.isRetired() ? 0 : 1;
            if (!c.isUsable(maxDepth, idleBeforeMs)) {
                continue;
            }
            if (c.isStreaming()) {
                busy = busy == null || c.isPreferredTo(busy) ? c : busy;
            } else {
                best = best == null || better(c, best, now) ? c : best;
            }
        }
        int wanted = best != null && !origin && dispatcher.servers().connectionsScarce() ? 1 : maxConnections;
        boolean more = best == null || ((best.depth() > 0 || rests(best, now)) && now >= noMoreUntilMs);
        if (more
                && standing < wanted
                && all < mostConnections
                && dispatcher.servers().mayOpen(best == null && busy == null)) {
            best = open();
        }
        best = best == null ? busy : best;
        if (best == null) {
            return false;
        }
        lastSentMs = now;
        best.send(attempt);
        return true;
    }

    private boolean rests(UpstreamConnection connection, double now) {
        return origin && !connection.hasRested(now, REST_MS);
    }

    private boolean better(UpstreamConnection one, UpstreamConnection other, double now) {
        if (rests(one, now) && rests(other, now)) {
            return one.idleSinceMs() < other.idleSinceMs();
        }
        return rests(one, now) == rests(other, now) ? one.isPreferredTo(other) : rests(other, now);
    }

    /** When it last had no place for a new connection. */
    double lastRejectedMs() {
        return lastRejectedMs;
    }

    /** How often that was so. */
    long rejectedConnections() {
        return turnedAway;
    }

    /** Connections to it that were begun. */
    long openedConnections() {
        return opened;
    }

    double lastSentMs() {
        return lastSentMs;
    }

    /**
     * A further connection did not come up while others stand: the server has as many as it takes, which says nothing
     * against it. What was to go out on that one, and did not, goes behind the rest.
     */
    boolean resend(RequestAttempt attempt) {
        UpstreamConnection best = null;
        double now = dispatcher.now();
        double idleBeforeMs = dispatcher.servers().idleBeforeMs(now);
        for (UpstreamConnection c : connections) {
            if (ready
                    && c.isConnected()
                    && c.isUsable(maxDepth, idleBeforeMs)
                    && (best == null || better(c, best, now))) {
                best = c;
            }
        }
        if (best == null || !dispatcher.attemptStarter().mayBegin(attempt)) {
            return false;
        }
        noMoreUntilMs = now + NO_MORE_MS;
        best.send(attempt);
        return true;
    }

    /** A new connection was turned away; whether none other stands. */
    boolean turnedAway() {
        lastRejectedMs = dispatcher.now();
        turnedAway++;
        dispatcher.servers().connectionRejected();
        noMoreUntilMs = dispatcher.now() + NO_MORE_MS;
        return connections.isEmpty();
    }

    private UpstreamConnection open() {
        UpstreamConnection connection = new UpstreamConnection(this);
        connections.add(connection);
        dispatcher.servers().connectionOpened();
        opened++;
        ChannelHandler[] handlers =
                origin ? OriginCodec.handlers(connection) : new ChannelHandler[] {new CacheCodec(connection)};
        ChannelFuture future = bootstrap
                .clone()
                .handler(new Initializer(handlers))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) dispatcher.connectTimeoutMs())
                .connect(address);
        connection.connecting(future, address);
        return connection;
    }

    void connectionClosed(UpstreamConnection connection) {
        if (connections.remove(connection)) {
            dispatcher.servers().connectionClosed();
        }
    }

    void closeIdle(double sinceMs) {
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (c.depth() == 0 && c.idleSinceMs() <= sinceMs) {
                c.close();
            }
        }
    }

    /** The connection to it that has stood idle longest; null if none does. */
    UpstreamConnection longestIdle() {
        UpstreamConnection longest = null;
        for (UpstreamConnection c : connections) {
            if (c.isIdle() && (longest == null || c.idleSinceMs() < longest.idleSinceMs())) {
                longest = c;
            }
        }
        return longest;
    }

    /**
     * Ends the connections made so far: idle ones at once, the others with their last answer. Guards against what is
     * still sent where the server no longer is, and against connections that outlive their server.
     */
    void retire() {
        List.copyOf(connections).forEach(UpstreamConnection::retire);
    }

    /**
     * Takes back what waits for a connection to a server that wants nothing new, or no longer is where that connection
     * leads. Guards against requests that reach a server long after the list had it leave, as its connection comes up
     * late.
     */
    void endUnsent() {
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (!ready || c.isRetired()) {
                c.endUnsent();
            }
        }
    }

    void close() {
        List.copyOf(connections).forEach(UpstreamConnection::close);
    }

    /** Ends attempts whose answer has stopped in its middle. */
    void closeStalled(double now) {
        for (UpstreamConnection c : List.copyOf(connections)) {
            c.closeIfStalled(now);
        }
    }
}

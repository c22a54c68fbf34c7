package cacheproxy.proxy;

import cacheproxy.routing.EndpointLocation;
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
final class Upstream {
    private static final double NO_MORE_MS = 5000;
    /**
     * A connection to the origin rests for so long after an answer. HTTP names no request, so a second copy of the
     * answer, which comes some milliseconds behind it, would be taken for the answer to what was put there in between;
     * on one that rests it is seen to belong to nothing. Cache nodes' answers name their requests.
     */
    private static final double REST_MS = 25;

    final int id;
    final boolean origin;
    SocketAddress dial;
    double bornMs;
    /** The same on the clock of {@link Dispatcher#now}. */
    double startedMs;

    EndpointLocation place;
    /** Whether the list has it take new requests. */
    boolean ready;
    /** When something was last put on a connection to it. */
    private double sentMs = Double.NEGATIVE_INFINITY;

    private double noMoreUntilMs;
    private double turnedAwayMs = Double.NEGATIVE_INFINITY;
    private long turnedAway;
    private long opened;
    private final Dispatcher dispatcher;
    private final Bootstrap bootstrap;
    private final int maxConnections;
    /** With those that pass long answers on. */
    private final int mostConnections;

    private final int maxDepth;
    private final List<UpstreamConnection> connections = new ArrayList<>(2);

    Upstream(
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
            standing += c.retired() || c.streaming() ? 0 : 1;
            all += c.retired() ? 0 : 1;
            if (!c.usable(maxDepth, idleBeforeMs)) {
                continue;
            }
            if (c.streaming()) {
                busy = busy == null || c.better(busy) ? c : busy;
            } else {
                best = best == null || better(c, best, now) ? c : best;
            }
        }
        int wanted = best != null && !origin && dispatcher.servers().scarce() ? 1 : maxConnections;
        boolean more = best == null || ((best.depth() > 0 || rests(best, now)) && now >= noMoreUntilMs);
        if (more
                && standing < wanted
                && all < mostConnections
                && dispatcher.servers().room(best == null && busy == null)) {
            best = open();
        }
        best = best == null ? busy : best;
        if (best == null) {
            return false;
        }
        sentMs = now;
        best.send(attempt);
        return true;
    }

    private boolean rests(UpstreamConnection connection, double now) {
        return origin && !connection.rested(now, REST_MS);
    }

    private boolean better(UpstreamConnection one, UpstreamConnection other, double now) {
        if (rests(one, now) && rests(other, now)) {
            return one.idleSinceMs() < other.idleSinceMs();
        }
        return rests(one, now) == rests(other, now) ? one.better(other) : rests(other, now);
    }

    /** When it last had no place for a new connection. */
    double turnedAwayMs() {
        return turnedAwayMs;
    }

    /** How often that was so. */
    long turnedAwayTimes() {
        return turnedAway;
    }

    /** Connections to it that were begun. */
    long openedTimes() {
        return opened;
    }

    double sentMs() {
        return sentMs;
    }

    /**
     * A further connection did not come up while others stand: the server has as many as it takes, which says nothing
     * against it. What was to go out on that one, and did not, goes behind the rest.
     */
    boolean sendElsewhere(RequestAttempt attempt) {
        UpstreamConnection best = null;
        double now = dispatcher.now();
        double idleBeforeMs = dispatcher.servers().idleBeforeMs(now);
        for (UpstreamConnection c : connections) {
            if (ready && c.connected() && c.usable(maxDepth, idleBeforeMs) && (best == null || better(c, best, now))) {
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
        turnedAwayMs = dispatcher.now();
        turnedAway++;
        dispatcher.servers().turnedAway();
        noMoreUntilMs = dispatcher.now() + NO_MORE_MS;
        return connections.isEmpty();
    }

    private UpstreamConnection open() {
        UpstreamConnection connection = new UpstreamConnection(this);
        connections.add(connection);
        dispatcher.servers().opened();
        opened++;
        ChannelHandler[] handlers =
                origin ? OriginCodec.handlers(connection) : new ChannelHandler[] {new CacheCodec(connection)};
        ChannelFuture future = bootstrap
                .clone()
                .handler(new HandlerInitializer(handlers))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) dispatcher.connectTimeoutMs())
                .connect(dial);
        connection.opening(future, dial);
        return connection;
    }

    void closed(UpstreamConnection connection) {
        if (connections.remove(connection)) {
            dispatcher.servers().closed();
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
            if (c.idle() && (longest == null || c.idleSinceMs() < longest.idleSinceMs())) {
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
    void withdraw() {
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (!ready || c.retired()) {
                c.withdraw();
            }
        }
    }

    void close() {
        List.copyOf(connections).forEach(UpstreamConnection::close);
    }

    /** Ends attempts whose answer has stopped in its middle. */
    void sweep(double now) {
        for (UpstreamConnection c : List.copyOf(connections)) {
            c.sweep(now);
        }
    }
}

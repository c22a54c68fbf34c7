package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.gossip.PeerMessage;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Backs off from endpoints that accept no further connection because other clients hold all of them. This is no failure
 * of the endpoint: it is treated as a member that can't be contacted (CARP draft, section 3.5), and its successors in
 * the ranking serve its keys until a connection may be available again. Times in milliseconds.
 */
final class ConnectionCapacity {
    private static final int ALL_PEERS = -1;
    /** The shortest delay, in connect timeouts. */
    private static final int MIN_CONNECT_TIMEOUTS = 10;

    /** The longest delay, as the number of doublings of the shortest. */
    private static final int MAX_DOUBLINGS = 4;
    /**
     * An instance that got a response within this many connect timeouts (20 s for a timeout of 100 ms) is assumed to
     * still have its connection.
     */
    private static final int CONNECTION_LIFETIME_CONNECT_TIMEOUTS = 200;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;

    ConnectionCapacity(Supplier<RoutingSettings> settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** A new connection was refused. Notifies the peers, each of which would otherwise need an attempt to find out. */
    void onConnectionLimit(double nowMs, EndpointEntry endpoint, RoutingActions out) {
        boolean alreadyNotified =
                endpoint.health().isAtConnectionLimit(nowMs); // by a peer, while the attempt was in flight
        backOff(nowMs, endpoint, endpoint.health().recordConnectionRejection());
        if (settings.get().peerMessagesAllowed() && !alreadyNotified) {
            out.sendToPeer(ALL_PEERS, PeerMessage.endpointFull(endpoint.id()));
        }
    }

    /**
     * A peer reports that a connection was refused. Ignored by an instance that has a connection, so a false report
     * only makes instances without one use the successor until the delay is over.
     */
    void onPeerReport(double nowMs, EndpointEntry endpoint) {
        double connectionLifetimeMs =
                CONNECTION_LIFETIME_CONNECT_TIMEOUTS * settings.get().connectTimeoutMs();
        if (endpoint.health().hasNoResponseFor(nowMs, connectionLifetimeMs)) {
            backOff(nowMs, endpoint, 0);
        }
    }

    /**
     * Marks the endpoint as at its connection limit. The delay has jitter for each instance and grows with the number
     * of instances, because all of them retry.
     */
    private void backOff(double nowMs, EndpointEntry endpoint, int earlierRejections) {
        double connectTimeoutMs = settings.get().connectTimeoutMs();
        double minMs = MIN_CONNECT_TIMEOUTS * connectTimeoutMs;
        double baseMs = Math.max(minMs, settings.get().instanceCount() * connectTimeoutMs);
        double capMs = minMs * (1 << MAX_DOUBLINGS);
        double delayMs = new ExponentialBackoff(baseMs, capMs).delayMs(earlierRejections);
        endpoint.health().markAtConnectionLimit(nowMs + delayMs * (0.5 + random.nextDouble()));
    }
}

package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.gossip.PeerMessage;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * How long an endpoint is left alone that takes no further connection, as others hold all it accepts. It is not at
 * fault: it counts as a member that can't be contacted (CARP draft, section 3.5), and its successors in the ranking
 * have its keys until a connection may have come free. Times in milliseconds.
 */
final class ConnectionCapacity {
    private static final int ALL_PEERS = -1;
    /** The shortest delay, in connect timeouts. */
    private static final int MIN_CONNECT_TIMEOUTS = 10;

    /** The longest delay, in doublings of the shortest. */
    private static final int MAX_DOUBLINGS = 4;
    /**
     * An instance that was answered within so many connect timeouts, 20 s where these are 100 ms, still has its
     * connection.
     */
    private static final int CONNECTION_LIFETIME_CONNECT_TIMEOUTS = 200;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;

    ConnectionCapacity(Supplier<RoutingSettings> settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** A new connection was turned down. Peers are notified, who would else find out at the cost of an attempt each. */
    void onConnectionLimit(double nowMs, EndpointEntry endpoint, RoutingActions out) {
        boolean alreadyNotified =
                endpoint.health().isAtConnectionLimit(nowMs); // by a peer, while the attempt was in flight
        backOff(nowMs, endpoint, endpoint.health().recordConnectionRejection());
        if (settings.get().peerMessagesAllowed() && !alreadyNotified) {
            out.sendToPeer(ALL_PEERS, PeerMessage.endpointFull(endpoint.id()));
        }
    }

    /**
     * A peer was turned down. Who has a connection there keeps to it, so a peer that is wrong costs no more than that:
     * until the time is over, the successor has what had no connection here anyway.
     */
    void onPeerReport(double nowMs, EndpointEntry endpoint) {
        double connectionLifetimeMs =
                CONNECTION_LIFETIME_CONNECT_TIMEOUTS * settings.get().connectTimeoutMs();
        if (endpoint.health().hasNoResponseFor(nowMs, connectionLifetimeMs)) {
            backOff(nowMs, endpoint, 0);
        }
    }

    /**
     * Each instance tries again at a time of its own, and the later the more instances there are, as it is all together
     * that ask.
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

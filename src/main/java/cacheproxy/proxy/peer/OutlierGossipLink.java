package cacheproxy.proxy.peer;

import cacheproxy.gossip.OutlierGossip;
import cacheproxy.gossip.OutlierGossip.ReportedNode;
import cacheproxy.gossip.PeerMessage;
import cacheproxy.membership.MembershipView;
import cacheproxy.routing.EndpointSignal;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Reports unresponsive cache nodes to the other proxies, and passes their reports to the load balancer once
 * {@link OutlierGossip} has counted enough of them. On the event loop only.
 */
public final class OutlierGossipLink {
    /** How long the zones of live peers are cached: in a large outage many reports arrive at once. */
    private static final double ZONES_CACHED_MS = 500;
    /** The interval between reports of one node, so short that the previous report has not expired yet. */
    private static final double REPORT_INTERVAL_MS = OutlierGossip.REPORT_TTL_MS / 2;

    /** Receives the report that enough peers have confirmed. */
    public interface OutlierListener {
        /** The last of these reports: the number of the peer that sent it, and the unchanged message. */
        void onOutlier(int peer, byte[] message);
    }

    private final DoubleSupplier nowMs;
    private final PeerDatagramSocket peers;
    private final CacheNodes nodes;
    private final Supplier<MembershipView> members;
    private final OutlierListener listener;
    private final OutlierGossip outliers = new OutlierGossip();
    /** When this proxy last reported each node. */
    private final Map<Integer, Double> reportedMs = new HashMap<>();
    /** The zones of live peers by peer number, as of {@link #zonesReadMs}. */
    private final Map<Integer, Integer> zoneOfPeer = new HashMap<>();

    private double zonesReadMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a link that has reported nothing.
     *
     * @param nowMs a monotonic clock, in milliseconds
     * @param members supplies the current membership view
     */
    public OutlierGossipLink(
            DoubleSupplier nowMs,
            PeerDatagramSocket peers,
            CacheNodes nodes,
            Supplier<MembershipView> members,
            OutlierListener listener) {
        this.nowMs = nowMs;
        this.peers = peers;
        this.nodes = nodes;
        this.members = members;
        this.listener = listener;
    }

    /** The load balancer has observed this signal of an endpoint; reports a cache node that did not respond. */
    public void onEndpointSignal(int endpointId, EndpointSignal signal) {
        if (signal != EndpointSignal.UNRESPONSIVE || nodes.zoneOf(endpointId).isEmpty()) {
            return;
        }
        double now = nowMs.getAsDouble();
        reportedMs.values().removeIf(at -> now - at >= REPORT_INTERVAL_MS);
        if (!outliers.isWidelyReported(now, endpointId) && reportedMs.putIfAbsent(endpointId, now) == null) {
            byte[] report = PeerMessage.endpointUnresponsive(endpointId);
            peers.send(PeerDatagramSocket.ALL_PEERS, PeerMessageKind.OUTLIERS, report);
        }
    }

    /** A peer has reported a node that did not respond; any other message is ignored. */
    public void onMessage(int peer, byte[] message) {
        Integer endpointId = PeerMessage.readEndpointUnresponsive(message);
        OptionalInt zone = endpointId == null ? OptionalInt.empty() : nodes.zoneOf(endpointId);
        if (zone.isEmpty()) {
            return;
        }
        double now = nowMs.getAsDouble();
        readZonesIfOld(now);
        Integer peerZone = zoneOfPeer.get(peer);
        if (peerZone == null) {
            return;
        }
        ReportedNode node = new ReportedNode(endpointId, zone.getAsInt(), nodes.countInZone(zone.getAsInt()));
        int zonesOfPeers = new HashSet<>(zoneOfPeer.values()).size();
        if (outliers.onReport(now, peer, peerZone, node, zoneOfPeer.size(), zonesOfPeers)) {
            listener.onOutlier(peer, message);
        }
    }

    private void readZonesIfOld(double now) {
        if (now - zonesReadMs < ZONES_CACHED_MS) {
            return;
        }
        MembershipView view = members.get();
        zonesReadMs = now;
        zoneOfPeer.clear();
        view.members().stream()
                .filter(e -> e.id() != view.self() && e.state().isLive())
                .forEach(e -> zoneOfPeer.put(e.id(), e.zone()));
    }
}

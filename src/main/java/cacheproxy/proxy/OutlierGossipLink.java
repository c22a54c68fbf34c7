package cacheproxy.proxy;

import cacheproxy.gossip.OutlierGossip;
import cacheproxy.gossip.PeerMessage;
import cacheproxy.membership.View;
import cacheproxy.routing.EndpointSignal;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;

/**
 * Tells peers of nodes that were found silent, and passes on to the decision module what several say. On the event loop
 * only.
 */
final class OutlierGossipLink {
    private static final int ALL_PEERS = -1;
    private static final double ZONES_CACHED_MS = 500;

    private final Dispatcher dispatcher;
    private final PeerDatagramSocket peers;
    private final MemberLink members;
    private final OutlierGossip outliers = new OutlierGossip();
    /** When peers were told of a node last; of those in the list alone. */
    private final Map<Integer, Double> reportedMs = new HashMap<>();
    /** Where peers stand that live; as of some time ago, as many messages come at once where much is wrong. */
    private final Map<Integer, Integer> zoneOfPeer = new HashMap<>();

    private double zonesReadMs = Double.NEGATIVE_INFINITY;

    OutlierGossipLink(Dispatcher dispatcher, PeerDatagramSocket peers, MemberLink members) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.members = members;
    }

    /** The decision module has met this at a server. */
    void onEndpointSignal(int server, EndpointSignal what) {
        Upstream u = dispatcher.servers().get(server);
        if (what != EndpointSignal.UNRESPONSIVE || u == null || u.origin) {
            return;
        }
        double now = dispatcher.now();
        reportedMs
                .values()
                .removeIf(at -> now - at
                        >= OutlierGossip.REPORT_TTL_MS / 2); // told anew while it lasts, before the word is void
        if (!outliers.isWidelyReported(now, server) && reportedMs.putIfAbsent(server, now) == null) {
            peers.send(ALL_PEERS, PeerMessageKind.OUTLIERS, PeerMessage.endpointUnresponsive(server));
        }
    }

    /** A peer says that a node is silent. */
    void onMessage(int peer, byte[] message) {
        Integer server = PeerMessage.readEndpointUnresponsive(message);
        Upstream u = server == null ? null : dispatcher.servers().get(server);
        if (u == null || u.origin) {
            return;
        }
        double now = dispatcher.now();
        if (now - zonesReadMs >= ZONES_CACHED_MS) {
            View view = members.view();
            zonesReadMs = now;
            zoneOfPeer.clear();
            view.entries().stream()
                    .filter(e -> e.id() != view.me() && e.state().lives())
                    .forEach(e -> zoneOfPeer.put(e.id(), e.zone()));
        }
        Integer zone = zoneOfPeer.get(peer);
        OutlierGossip.ReportedNode node = new OutlierGossip.ReportedNode(
                server, u.place.zone(), dispatcher.servers().inZone(u.place.zone()));
        if (zone != null
                && outliers.onReport(
                        now, peer, zone, node, zoneOfPeer.size(), new HashSet<>(zoneOfPeer.values()).size())) {
            dispatcher.heard(peer, PeerMessageKind.LOAD_BALANCER, message);
        }
    }
}

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
public final class NodeTalk {
    private static final int ALL = -1;
    private static final double ZONES_MS = 500;

    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final MemberLink members;
    private final OutlierGossip bad = new OutlierGossip();
    /** When peers were told of a node last; of those in the list alone. */
    private final Map<Integer, Double> toldMs = new HashMap<>();
    /** Where peers stand that live; as of some time ago, as many messages come at once where much is wrong. */
    private final Map<Integer, Integer> zones = new HashMap<>();

    private double zonesMs = Double.NEGATIVE_INFINITY;

    /** Creates the exchange with the members of this view. */
    public NodeTalk(Dispatcher dispatcher, PeerSocket peers, MemberLink members) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.members = members;
    }

    /** The decision module has met this at a server. */
    void saw(int server, EndpointSignal what) {
        Upstream u = dispatcher.servers().get(server);
        if (what != EndpointSignal.UNRESPONSIVE || u == null || u.origin) {
            return;
        }
        double now = dispatcher.now();
        toldMs.values()
                .removeIf(at -> now - at
                        >= OutlierGossip.REPORT_TTL_MS / 2); // told anew while it lasts, before the word is void
        if (!bad.isWidelyReported(now, server) && toldMs.putIfAbsent(server, now) == null) {
            peers.send(ALL, PeerSocket.Kind.NODES, PeerMessage.endpointUnresponsive(server));
        }
    }

    /** A peer says that a node is silent. */
    void heard(int peer, byte[] message) {
        Integer server = PeerMessage.readEndpointUnresponsive(message);
        Upstream u = server == null ? null : dispatcher.servers().get(server);
        if (u == null || u.origin) {
            return;
        }
        double now = dispatcher.now();
        if (now - zonesMs >= ZONES_MS) {
            View view = members.view();
            zonesMs = now;
            zones.clear();
            view.entries().stream()
                    .filter(e -> e.id() != view.me() && e.state().lives())
                    .forEach(e -> zones.put(e.id(), e.zone()));
        }
        Integer zone = zones.get(peer);
        OutlierGossip.ReportedNode node = new OutlierGossip.ReportedNode(
                server, u.place.zone(), dispatcher.servers().inZone(u.place.zone()));
        if (zone != null && bad.onReport(now, peer, zone, node, zones.size(), new HashSet<>(zones.values()).size())) {
            dispatcher.peerLinks().messageReceived(peer, PeerSocket.Kind.MODULE, message);
        }
    }
}

package damsonworks.proxy;

import damsonworks.RoutingApi.Evidence;
import damsonworks.member.Entry;
import damsonworks.member.View;
import damsonworks.peer.BadNodes;
import damsonworks.peer.PeerMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tells peers of nodes that were found silent, and passes on to the decision module what several say. On the event loop only. */
final class NodeTalk {
    private static final int ALL = -1;
    private static final int MOST_TOLD = 512;

    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final MemberLink members;
    private final BadNodes bad = new BadNodes();
    /** When peers were told of a node last. */
    private final Map<Integer, Double> toldMs = new HashMap<>();

    NodeTalk(Dispatcher dispatcher, PeerSocket peers, MemberLink members) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.members = members;
    }

    /** The decision module has met this at a server. */
    void saw(int server, Evidence what) {
        Upstream u = dispatcher.servers().get(server);
        if (what != Evidence.SILENT || u == null || u.origin) {
            return;
        }
        double now = dispatcher.now();
        toldMs.values().removeIf(at -> now - at >= BadNodes.KEPT_MS / 2); // told anew while it lasts, before the word is void
        if (toldMs.size() < MOST_TOLD && toldMs.putIfAbsent(server, now) == null) {
            peers.send(ALL, PeerSocket.Kind.NODES, PeerMessage.bad(server));
        }
    }

    /** A peer says that a node is silent. */
    void heard(int peer, byte[] message) {
        Integer server = PeerMessage.badServer(message);
        Upstream u = server == null ? null : dispatcher.servers().get(server);
        if (u == null || u.origin) {
            return;
        }
        View view = members.view();
        Set<Integer> homes = new HashSet<>();
        int others = 0;
        int zone = -1;
        for (Entry e : view.entries()) {
            if (e.id() != view.me() && e.state().lives()) {
                others++;
                homes.add(e.zone());
                zone = e.id() == peer ? e.zone() : zone;
            }
        }
        BadNodes.Node node = new BadNodes.Node(server, u.zone, dispatcher.servers().inZone(u.zone));
        if (zone >= 0 && bad.claimed(dispatcher.now(), peer, zone, node, others, homes.size())) {
            dispatcher.heard(peer, PeerSocket.Kind.MODULE, message);
        }
    }
}

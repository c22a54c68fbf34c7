package cacheproxy.proxy;

import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.ListNews;
import cacheproxy.gossip.ListNews.Order;
import cacheproxy.gossip.ListUpdate;
import cacheproxy.gossip.PeerMessage;
import cacheproxy.gossip.ProvisionalMembership;
import cacheproxy.membership.Living;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import java.util.SplittableRandom;

/**
 * Carries out what {@link ListNews} orders: tells peers, and has discovery or a peer asked. Where one discovery serves
 * all instances, peers tell each other what has changed; where lists are pushed, each has an agent of its own to ask,
 * and the version is enough. On the event loop only.
 */
final class PeerNews {
    private static final int ALL = -1;
    /** Of what somebody has missed, so many messages are sent at most; who needs more has discovery tell it. */
    private static final int MOST_ANSWERS = 4;

    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final DiscoveryClient discovery;
    private final EndpointListPublisher list;
    private final ListNews news;
    private final SplittableRandom random;
    private final AntiEntropy antiEntropy;

    /** {@code seed}: apart from that of other instances, so that they do not all ask one peer. */
    PeerNews(
            Dispatcher dispatcher,
            PeerSocket peers,
            DiscoveryClient discovery,
            EndpointListPublisher list,
            ListNews news,
            long seed) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.discovery = discovery;
        this.list = list;
        this.news = news;
        random = new SplittableRandom(seed);
        antiEntropy = new AntiEntropy(dispatcher.now());
        queryWhenDue();
    }

    private void queryWhenDue() {
        dispatcher.after(Math.max(1, antiEntropy.dueMs() - dispatcher.now()), () -> {
            if (antiEntropy.due(dispatcher.now())) {
                query();
            }
            queryWhenDue();
        });
    }

    private ProvisionalMembership membership() {
        return list.provisionalEndpoints();
    }

    private boolean sharesChanges() {
        return dispatcher.settings().pollsDiscovery();
    }

    /** Discovery has told that version. */
    void held(long version) {
        antiEntropy.answered(dispatcher.now());
        carryOut(news.held(dispatcher.now(), version));
    }

    /** A call for the list failed: a peer may know what it would have told. */
    void callFailed() {
        queryUnlessJustDone();
    }

    /** A peer says which version it holds, what has changed, or wants to know that. */
    void heard(int peer, byte[] message) {
        long version = PeerMessage.listVersion(message);
        if (version >= 0) {
            carryOut(news.heard(dispatcher.now(), version));
            return;
        }
        if (!sharesChanges()) {
            return;
        }
        ListUpdate update = ListUpdate.decode(message);
        if (update != null) {
            list.onPeerUpdate(dispatcher.now(), peer, update);
            carryOut(news.heard(dispatcher.now(), update.version()));
            return;
        }
        long queried = PeerMessage.queriedVersion(message);
        if (queried >= 0) {
            membership().since(dispatcher.now(), queried).stream()
                    .limit(MOST_ANSWERS)
                    .forEach(u -> peers.send(peer, PeerSocket.Kind.LIST, u.encode()));
        }
    }

    /** So many live. */
    void among(Living living) {
        news.among(living);
    }

    private void carryOut(Order order) {
        switch (order) {
            case TELL -> tell();
            case ASK -> ask();
            case NONE, WAIT -> {}
        }
        double due = news.dueMs();
        if (order != Order.NONE && due != Double.POSITIVE_INFINITY) {
            dispatcher.after(Math.max(0, due - dispatcher.now()), () -> carryOut(news.due(dispatcher.now())));
        }
    }

    private void tell() {
        byte[] message = sharesChanges() ? membership().news().encode() : PeerMessage.list(discovery.version());
        peers.send(ALL, PeerSocket.Kind.LIST, message);
    }

    /** Peers hold a version that discovery has not told here. */
    private void ask() {
        discovery.onPeerAhead();
        queryUnlessJustDone();
    }

    private void queryUnlessJustDone() {
        if (antiEntropy.alerted(dispatcher.now())) {
            query();
        }
    }

    /** Asks some peer for what is not known here. */
    private void query() {
        int peer = peers.another(random);
        if (sharesChanges() && peer >= 0) {
            peers.send(
                    peer,
                    PeerSocket.Kind.LIST,
                    PeerMessage.listQuery(membership().known()));
        }
    }
}

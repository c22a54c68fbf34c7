package cacheproxy.proxy;

import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.ListVersionGossip;
import cacheproxy.gossip.ListVersionGossip.Action;
import cacheproxy.gossip.PeerMessage;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.membership.Living;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import java.util.SplittableRandom;

/**
 * Carries out what {@link ListVersionGossip} orders: tells peers, and has discovery or a peer asked. Where one
 * discovery serves all instances, peers tell each other what has changed; where lists are pushed, each has an agent of
 * its own to ask, and the version is enough. On the event loop only.
 */
public final class PeerNews {
    private static final int ALL = -1;
    /** Of what somebody has missed, so many messages are sent at most; who needs more has discovery tell it. */
    private static final int MOST_ANSWERS = 4;

    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final DiscoveryClient discovery;
    private final EndpointListPublisher list;
    private final ListVersionGossip news;
    private final SplittableRandom random;
    private final AntiEntropy antiEntropy;

    /** {@code seed}: apart from that of other instances, so that they do not all ask one peer. */
    public PeerNews(
            Dispatcher dispatcher,
            PeerSocket peers,
            DiscoveryClient discovery,
            EndpointListPublisher list,
            ListVersionGossip news,
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
        dispatcher.after(Math.max(1, antiEntropy.nextTimerMs() - dispatcher.now()), () -> {
            if (antiEntropy.onTimer(dispatcher.now())) {
                query();
            }
            queryWhenDue();
        });
    }

    private ProvisionalEndpoints membership() {
        return list.provisionalEndpoints();
    }

    private boolean sharesChanges() {
        return dispatcher.settings().pollsDiscovery();
    }

    /** Discovery has told that version. */
    void held(long version) {
        antiEntropy.onDiscoveryResponse(dispatcher.now());
        carryOut(news.onVersionApplied(dispatcher.now(), version));
    }

    /** A call for the list failed: a peer may know what it would have told. */
    void callFailed() {
        queryUnlessJustDone();
    }

    /** A peer says which version it holds, what has changed, or wants to know that. */
    void heard(int peer, byte[] message) {
        long version = PeerMessage.readListVersion(message);
        if (version >= 0) {
            carryOut(news.onPeerVersion(dispatcher.now(), version));
            return;
        }
        if (!sharesChanges()) {
            return;
        }
        EndpointListDelta update = EndpointListDelta.decode(message);
        if (update != null) {
            list.onPeerUpdate(dispatcher.now(), peer, update);
            carryOut(news.onPeerVersion(dispatcher.now(), update.version()));
            return;
        }
        long queried = PeerMessage.readListQuery(message);
        if (queried >= 0) {
            membership().changesSince(dispatcher.now(), queried).stream()
                    .limit(MOST_ANSWERS)
                    .forEach(u -> peers.send(peer, PeerSocket.Kind.LIST, u.encode()));
        }
    }

    /** So many live. */
    void among(Living living) {
        news.setLiveMembers(living);
    }

    private void carryOut(Action order) {
        switch (order) {
            case ANNOUNCE -> tell();
            case POLL_DISCOVERY -> ask();
            case NONE, WAIT -> {}
        }
        double due = news.nextTimerMs();
        if (order != Action.NONE && due != Double.POSITIVE_INFINITY) {
            dispatcher.after(Math.max(0, due - dispatcher.now()), () -> carryOut(news.onTimer(dispatcher.now())));
        }
    }

    private void tell() {
        byte[] message = sharesChanges()
                ? membership().recentChanges().encode()
                : PeerMessage.listVersionAnnouncement(discovery.version());
        peers.send(ALL, PeerSocket.Kind.LIST, message);
    }

    /** Peers hold a version that discovery has not told here. */
    private void ask() {
        discovery.onPeerAhead();
        queryUnlessJustDone();
    }

    private void queryUnlessJustDone() {
        if (antiEntropy.onFault(dispatcher.now())) {
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
                    PeerMessage.listQuery(membership().knownVersion()));
        }
    }
}

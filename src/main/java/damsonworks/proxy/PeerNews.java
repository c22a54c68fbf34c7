package damsonworks.proxy;

import damsonworks.member.Living;
import damsonworks.peer.ListNews;
import damsonworks.peer.ListNews.Order;
import damsonworks.peer.PeerMessage;
import damsonworks.proxy.discovery.DiscoveryClient;

/** Carries out what {@link ListNews} orders: tells peers, and has discovery asked. On the event loop only. */
final class PeerNews {
    private static final int ALL = -1;

    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final DiscoveryClient discovery;
    private final ListNews news;

    PeerNews(Dispatcher dispatcher, PeerSocket peers, DiscoveryClient discovery, ListNews news) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.discovery = discovery;
        this.news = news;
    }

    /** Discovery has told that version. */
    void held(long version) {
        carryOut(news.held(dispatcher.now(), version));
    }

    /** A peer says which version it holds. */
    void heard(byte[] message) {
        long version = PeerMessage.listVersion(message);
        if (version >= 0) {
            carryOut(news.heard(dispatcher.now(), version));
        }
    }

    /** So many live. */
    void among(Living living) {
        news.among(living);
    }

    private void carryOut(Order order) {
        switch (order) {
            case TELL -> peers.send(ALL, PeerSocket.Kind.LIST, PeerMessage.list(discovery.version()));
            case ASK -> discovery.renew();
            case NONE, WAIT -> { }
        }
        double due = news.dueMs();
        if (order != Order.NONE && due != Double.POSITIVE_INFINITY) {
            dispatcher.after(Math.max(0, due - dispatcher.now()), () -> carryOut(news.due(dispatcher.now())));
        }
    }
}

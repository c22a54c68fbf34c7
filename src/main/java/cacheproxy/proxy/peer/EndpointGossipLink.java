package cacheproxy.proxy.peer;

import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.ListVersionGossip;
import cacheproxy.gossip.ListVersionGossip.Action;
import cacheproxy.gossip.PeerMessage;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.membership.LiveMembers;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Exchanges what is known of the endpoint list with the other proxies: carries out what {@link ListVersionGossip} and
 * {@link AntiEntropy} decide. Where one discovery serves all instances, peers pass on to each other what has changed;
 * where each has an agent of its own, the version of the list is enough. On the event loop only.
 */
public final class EndpointGossipLink {
    /** A peer that has missed more than so many messages hold learns it from discovery. */
    private static final int MAX_ANSWER_MESSAGES = 4;

    private final EventScheduler scheduler;
    private final PeerDatagramSocket peers;
    private final DiscoveryClient discovery;
    private final EndpointListPublisher list;
    private final ListVersionGossip versionGossip;
    private final BooleanSupplier sharedDiscovery;
    private final SplittableRandom random;
    private final AntiEntropy antiEntropy;

    /**
     * Begins to query peers whenever {@link AntiEntropy} is due.
     *
     * @param sharedDiscovery whether one discovery serves all instances, by the settings that hold at the moment
     * @param seed other than that of any other instance, so that they do not all query one peer
     */
    public EndpointGossipLink(
            EventScheduler scheduler,
            PeerDatagramSocket peers,
            DiscoveryClient discovery,
            EndpointListPublisher list,
            ListVersionGossip versionGossip,
            BooleanSupplier sharedDiscovery,
            long seed) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.discovery = discovery;
        this.list = list;
        this.versionGossip = versionGossip;
        this.sharedDiscovery = sharedDiscovery;
        random = new SplittableRandom(seed);
        antiEntropy = new AntiEntropy(scheduler.nowMs());
        scheduleAntiEntropy();
    }

    private void scheduleAntiEntropy() {
        scheduler.schedule(Math.max(1, antiEntropy.nextTimerMs() - scheduler.nowMs()), () -> {
            if (antiEntropy.onTimer(scheduler.nowMs())) {
                queryPeer();
            }
            scheduleAntiEntropy();
        });
    }

    private ProvisionalEndpoints endpoints() {
        return list.provisionalEndpoints();
    }

    /** A list or changes of this version, from discovery, are in use. */
    public void onVersionApplied(long version) {
        antiEntropy.onDiscoveryResponse(scheduler.nowMs());
        carryOut(versionGossip.onVersionApplied(scheduler.nowMs(), version));
    }

    /** A poll of discovery has failed: a peer may know what it would have brought. */
    public void onPollFailed() {
        queryPeerUnlessRecent();
    }

    /** A peer announces its version of the list, sends changes, or queries for them. */
    public void onMessage(int peer, byte[] message) {
        long announced = PeerMessage.readListVersion(message);
        if (announced >= 0) {
            carryOut(versionGossip.onPeerVersion(scheduler.nowMs(), announced));
            return;
        }
        if (!sharedDiscovery.getAsBoolean()) {
            return;
        }
        EndpointListDelta delta = EndpointListDelta.decode(message);
        if (delta != null) {
            list.onPeerUpdate(scheduler.nowMs(), peer, delta);
            carryOut(versionGossip.onPeerVersion(scheduler.nowMs(), delta.version()));
            return;
        }
        long peerVersion = PeerMessage.readListQuery(message);
        if (peerVersion >= 0) {
            answerQuery(peer, peerVersion);
        }
    }

    private void answerQuery(int peer, long version) {
        endpoints().changesSince(scheduler.nowMs(), version).stream()
                .limit(MAX_ANSWER_MESSAGES)
                .forEach(delta -> peers.send(peer, PeerMessageKind.ENDPOINT_LIST, delta.encode()));
    }

    /** The number of live instances has changed. */
    public void setLiveMembers(LiveMembers living) {
        versionGossip.setLiveMembers(living);
    }

    private void carryOut(Action action) {
        switch (action) {
            case ANNOUNCE -> announce();
            case POLL_DISCOVERY -> pollDiscovery();
            case NONE, WAIT -> {}
        }
        double timerMs = versionGossip.nextTimerMs();
        if (action != Action.NONE && timerMs != Double.POSITIVE_INFINITY) {
            scheduler.schedule(
                    Math.max(0, timerMs - scheduler.nowMs()), () -> carryOut(versionGossip.onTimer(scheduler.nowMs())));
        }
    }

    private void announce() {
        byte[] message = sharedDiscovery.getAsBoolean()
                ? endpoints().recentChanges().encode()
                : PeerMessage.listVersionAnnouncement(discovery.version());
        peers.send(PeerDatagramSocket.ALL_PEERS, PeerMessageKind.ENDPOINT_LIST, message);
    }

    /** Peers hold a version that discovery has not brought here. */
    private void pollDiscovery() {
        discovery.onPeerAhead();
        queryPeerUnlessRecent();
    }

    private void queryPeerUnlessRecent() {
        if (antiEntropy.tryStartQuery(scheduler.nowMs())) {
            queryPeer();
        }
    }

    /** Queries some peer for what is not known here. */
    private void queryPeer() {
        int peer = peers.randomPeer(random);
        if (sharedDiscovery.getAsBoolean() && peer >= 0) {
            byte[] query = PeerMessage.listQuery(endpoints().knownVersion());
            peers.send(peer, PeerMessageKind.ENDPOINT_LIST, query);
        }
    }
}

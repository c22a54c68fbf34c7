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
 * Exchanges the state of the endpoint list with the other proxies: carries out the decisions of
 * {@link ListVersionGossip} and {@link AntiEntropy}. If one discovery serves all instances, peers send each other the
 * changes; if each instance has its own discovery agent, they send only the version of the list. On the event loop
 * only.
 */
public final class EndpointGossipLink {
    /** The maximum number of messages in answer to a query; a peer that misses more gets the rest from discovery. */
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
     * Starts to query peers whenever {@link AntiEntropy} is due.
     *
     * @param sharedDiscovery whether one discovery serves all instances, by the current settings
     * @param seed different from that of any other instance, so that they do not all query the same peer
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

    /** Discovery's list, or its changes, up to this version are in use. */
    public void onVersionApplied(long version) {
        antiEntropy.onDiscoveryResponse(scheduler.nowMs());
        carryOut(versionGossip.onVersionApplied(scheduler.nowMs(), version));
    }

    /** A poll of discovery has failed; a peer may have the changes. */
    public void onPollFailed() {
        queryPeerUnlessRecent();
    }

    /** A peer has announced its version of the list, sent changes, or queried for them. */
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

    /** Peers have a version that this instance has not received from discovery. */
    private void pollDiscovery() {
        discovery.onPeerAhead();
        queryPeerUnlessRecent();
    }

    private void queryPeerUnlessRecent() {
        if (antiEntropy.tryStartQuery(scheduler.nowMs())) {
            queryPeer();
        }
    }

    /** Queries a random peer for changes after the known version. */
    private void queryPeer() {
        int peer = peers.randomPeer(random);
        if (sharedDiscovery.getAsBoolean() && peer >= 0) {
            byte[] query = PeerMessage.listQuery(endpoints().knownVersion());
            peers.send(peer, PeerMessageKind.ENDPOINT_LIST, query);
        }
    }
}

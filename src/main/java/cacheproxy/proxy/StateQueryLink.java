package cacheproxy.proxy;

import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.recovery.PeerStateQuery;
import cacheproxy.recovery.PeerStateQuery.Result;
import cacheproxy.recovery.PeerStateSummary;
import cacheproxy.recovery.Provenance;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Asks peers where nothing is remembered, and answers those who ask. On the event loop only. */
public final class StateQueryLink {
    private static final double TICK_MS = 100;
    /** What is asked for is not known better than to that many requests at the origin. */
    private static final double ORIGIN_WEIGHT = 10;
    /** What peers said is a doubt for no longer than this. */
    private static final double BOUND_MS = 60_000;

    private final Dispatcher dispatcher;
    private final PeerDatagramSocket peers;
    private final MemberLink members;
    private final DiscoveryClient discovery;
    private final PeerStateQuery recall;

    /** {@code asks}: whether there is anything to ask for. */
    public StateQueryLink(
            Dispatcher dispatcher,
            PeerDatagramSocket peers,
            MemberLink members,
            DiscoveryClient discovery,
            boolean asks) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.members = members;
        this.discovery = discovery;
        recall = asks ? new PeerStateQuery(dispatcher.settings().instanceIndex(), dispatcher.now()) : null;
        if (asks) {
            run();
        }
    }

    void heard(int peer, byte[] message) {
        if (PeerStateSummary.isQuery(message)) {
            answer(peer);
            return;
        }
        PeerStateSummary memory = recall == null ? null : PeerStateSummary.decode(message);
        if (memory != null) {
            recall.answerReceived(peer, memory);
        }
    }

    /** What this proxy has learnt itself, as far as it goes into a datagram. */
    private void answer(int peer) {
        LearnedState e = dispatcher.learnedState().get("");
        if (e == null) {
            return; // it has pools, and none of all servers
        }
        List<Integer> bad = e.endpoints().stream()
                .filter(s -> s.failures() > 0 && dispatcher.isEjected(s.id()))
                .sorted(Comparator.comparingInt(EndpointHealthRecord::failures).reversed())
                .limit(PeerStateSummary.MAX_AVOIDED_NODES)
                .map(EndpointHealthRecord::id)
                .toList();
        double asked = e.originLoad().requested();
        peers.send(
                peer,
                PeerMessageKind.STATE_QUERY,
                new PeerStateSummary(
                                Math.max(0, discovery.version()),
                                (float) e.originFetchMs(),
                                (float) e.usualLatencyMs(),
                                asked < 1
                                        ? 1
                                        : (float) Math.max(
                                                0, Math.min(1, e.originLoad().completedInTime() / asked)),
                                bad)
                        .encode());
    }

    private void run() {
        recall.peersToQuery(dispatcher.now(), members.view())
                .forEach(p -> peers.send(p, PeerMessageKind.STATE_QUERY, PeerStateSummary.query()));
        switch (recall.state()) {
            case QUERYING -> dispatcher.after(TICK_MS, this::run);
            case ANSWERED -> take();
            case NO_SERVING_PEER -> dispatcher.log("recovery: nobody serves who remembers; the settings' figures hold");
            case UNANSWERED -> dispatcher.log("recovery: those that serve did not answer; the settings' figures hold");
        }
    }

    private void take() {
        Map<Integer, Integer> zoneOf = new HashMap<>();
        Map<Integer, Integer> inZone = new HashMap<>();
        dispatcher.servers().nodes().forEach(u -> {
            zoneOf.put(u.id, u.place.zone());
            inZone.merge(u.place.zone(), 1, Integer::sum);
        });
        Result r = recall.result(zoneOf, inZone);
        List<EndpointHealthRecord> doubts = r.suspectedNodes().stream()
                .map(id -> new EndpointHealthRecord(id, dispatcher.servers().get(id).bornMs, 1, 0, 0))
                .toList();
        double now = dispatcher.now();
        dispatcher.resume(Map.of(
                "",
                new LearnedState(
                        r.originFetchMs(),
                        r.nodeLatencyMs(),
                        r.nodeLatencyMs() / 2,
                        0,
                        new LoadCount(ORIGIN_WEIGHT, ORIGIN_WEIGHT * r.originInTimeRatio()),
                        new LoadCount(0, 0),
                        0,
                        List.of(),
                        doubts)));
        dispatcher
                .provenance()
                .adopted(now, ProvenanceTracker.Subject.LEARNED_STATE, Provenance.PEERS, 0, BOUND_MS, true);
        if (r.listVersion() > discovery.version()) {
            discovery.onPeerAhead(); // a claim is no list, but worth a call
        }
        dispatcher.log(String.format(
                Locale.ROOT,
                "recovery: %d peers told of %d bad nodes, list version %d, fetches of %.0f ms",
                r.answers(),
                r.suspectedNodes().size(),
                r.listVersion(),
                r.originFetchMs()));
    }
}

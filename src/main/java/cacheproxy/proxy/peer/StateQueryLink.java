package cacheproxy.proxy.peer;

import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.recovery.PeerStateQuery;
import cacheproxy.recovery.PeerStateSummary;
import cacheproxy.recovery.Provenance;
import cacheproxy.recovery.ProvenanceTracker.Subject;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Sends the state queries that {@link PeerStateQuery} decides on, adopts their result, and answers queries of peers. On
 * the event loop only.
 */
public final class StateQueryLink {
    private static final double TICK_MS = 100;
    /** The weight of the in-time ratio that peers report, in requests of this process to the origin. */
    private static final double ORIGIN_WEIGHT = 10;
    /** How long state from peers counts as a hint; after that, this process has observed more itself. */
    private static final double MAX_AGE_MS = 60_000;

    private final EventScheduler scheduler;
    private final LearnedStateAccess state;
    private final PeerDatagramSocket peers;
    private final MembershipLink members;
    private final DiscoveryClient discovery;
    /** Null if this process has learned state and needs none from peers. */
    private final PeerStateQuery query;

    /**
     * Starts at once.
     *
     * @param instance this instance's number
     * @param needsState whether this process has started without learned state, so that it queries its peers
     */
    public StateQueryLink(
            EventScheduler scheduler,
            LearnedStateAccess state,
            PeerDatagramSocket peers,
            MembershipLink members,
            DiscoveryClient discovery,
            int instance,
            boolean needsState) {
        this.scheduler = scheduler;
        this.state = state;
        this.peers = peers;
        this.members = members;
        this.discovery = discovery;
        query = needsState ? new PeerStateQuery(instance, scheduler.nowMs()) : null;
        if (needsState) {
            run();
        }
    }

    /** A state query from a peer, or its answer to one, has been received. */
    public void messageReceived(int peer, byte[] message) {
        if (PeerStateSummary.isQuery(message)) {
            answer(peer);
            return;
        }
        PeerStateSummary summary = query == null ? null : PeerStateSummary.decode(message);
        if (summary != null) {
            query.answerReceived(peer, summary);
        }
    }

    // ---- answers to peers

    private void answer(int peer) {
        LearnedState learned = state.learnedState();
        if (learned != null) { // null if there are only load balancers of pools
            peers.send(peer, PeerMessageKind.STATE_QUERY, summary(learned).encode());
        }
    }

    private PeerStateSummary summary(LearnedState learned) {
        List<Integer> avoidedNodes = learned.endpoints().stream()
                .filter(e -> e.consecutiveFailures() > 0 && state.isAvoided(e.id()))
                .sorted(Comparator.comparingInt(EndpointHealthRecord::consecutiveFailures)
                        .reversed())
                .limit(PeerStateSummary.MAX_AVOIDED_NODES)
                .map(EndpointHealthRecord::id)
                .toList();
        return new PeerStateSummary(
                Math.max(0, discovery.version()),
                (float) learned.originFetchMs(),
                (float) learned.meanLatencyMs(),
                inTimeRatio(learned.originLoad()),
                avoidedNodes);
    }

    private static float inTimeRatio(LoadCount load) {
        double requested = load.requested();
        return requested < 1 ? 1 : (float) Math.max(0, Math.min(1, load.completedInTime() / requested));
    }

    // ---- own query

    private void run() {
        query.peersToQuery(scheduler.nowMs(), members.view())
                .forEach(peer -> peers.send(peer, PeerMessageKind.STATE_QUERY, PeerStateSummary.query()));
        switch (query.state()) {
            case QUERYING -> scheduler.schedule(TICK_MS, this::run);
            case ANSWERED -> adopt(result());
            case NO_SERVING_PEER -> state.log("recovery: state query ended, no peer serves; defaults are used");
            case UNANSWERED -> state.log("recovery: state query ended, no peer answered; defaults are used");
        }
    }

    private PeerStateQuery.Result result() {
        Map<Integer, Integer> zoneOf = state.zonesOfCacheNodes();
        Map<Integer, Integer> nodesInZone = new HashMap<>();
        zoneOf.values().forEach(zone -> nodesInZone.merge(zone, 1, Integer::sum));
        return query.result(zoneOf, nodesInZone);
    }

    private void adopt(PeerStateQuery.Result result) {
        double nowMs = scheduler.nowMs();
        state.resume(learnedState(result));
        state.provenance().adopted(nowMs, Subject.LEARNED_STATE, Provenance.PEERS, 0, MAX_AGE_MS, true);
        if (result.listVersion() > discovery.version()) {
            discovery.onPeerAhead(); // the version alone brings no list, but justifies a poll
        }
        state.log(String.format(
                Locale.ROOT,
                "recovery: state query answered, peers=%d suspected_nodes=%d list_version=%d origin_fetch_ms=%.0f",
                result.answers(),
                result.suspectedNodes().size(),
                result.listVersion(),
                result.originFetchMs()));
    }

    private LearnedState learnedState(PeerStateQuery.Result result) {
        List<EndpointHealthRecord> suspected = result.suspectedNodes().stream()
                .map(id -> new EndpointHealthRecord(id, state.startTimeMs(id), 1, 0, 0))
                .toList();
        return new LearnedState(
                result.originFetchMs(),
                result.nodeLatencyMs(),
                result.nodeLatencyMs() / 2,
                0,
                new LoadCount(ORIGIN_WEIGHT, ORIGIN_WEIGHT * result.originInTimeRatio()),
                new LoadCount(0, 0),
                0,
                List.of(),
                suspected);
    }
}

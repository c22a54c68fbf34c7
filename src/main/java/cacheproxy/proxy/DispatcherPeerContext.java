package cacheproxy.proxy;

import cacheproxy.proxy.peer.CacheNodes;
import cacheproxy.proxy.peer.EventScheduler;
import cacheproxy.proxy.peer.LearnedStateAccess;
import cacheproxy.proxy.upstream.UpstreamServer;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.LearnedState;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/** Offers the {@link Dispatcher}'s clock, timers, cache nodes and learned state to the links to peers. */
public final class DispatcherPeerContext implements EventScheduler, CacheNodes, LearnedStateAccess {
    /** The name of the pool of all endpoints. */
    private static final String ALL_ENDPOINTS = "";

    private final Dispatcher dispatcher;

    /** Creates the context of this dispatcher. */
    public DispatcherPeerContext(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    @Override
    public double nowMs() {
        return dispatcher.now();
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        dispatcher.after(delayMs, task);
    }

    @Override
    public OptionalInt zoneOf(int endpointId) {
        UpstreamServer upstream = dispatcher.servers().get(endpointId);
        return upstream == null || upstream.origin ? OptionalInt.empty() : OptionalInt.of(upstream.location.zone());
    }

    @Override
    public int countInZone(int zone) {
        return dispatcher.servers().cacheNodesInZone(zone);
    }

    @Override
    public LearnedState learnedState() {
        return dispatcher.learnedState().get(ALL_ENDPOINTS);
    }

    @Override
    public void resume(LearnedState learned) {
        dispatcher.resume(Map.of(ALL_ENDPOINTS, learned));
    }

    @Override
    public ProvenanceTracker provenance() {
        return dispatcher.provenance();
    }

    @Override
    public boolean isAvoided(int endpointId) {
        return dispatcher.isAvoided(endpointId);
    }

    @Override
    public double startTimeMs(int endpointId) {
        return dispatcher.servers().get(endpointId).startTimeMs;
    }

    @Override
    public Map<Integer, Integer> zonesOfCacheNodes() {
        Map<Integer, Integer> zones = new HashMap<>();
        dispatcher.servers().cacheNodes().forEach(node -> zones.put(node.id, node.location.zone()));
        return zones;
    }

    @Override
    public void log(String text) {
        dispatcher.log(text);
    }
}

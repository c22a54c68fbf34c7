package cacheproxy.proxy;

import cacheproxy.proxy.peer.CacheNodes;
import cacheproxy.proxy.peer.EventScheduler;
import java.util.OptionalInt;

/** What the links to peers use of the core: its clock, its timers and the cache nodes of its list. */
public final class DispatcherPeerPorts implements EventScheduler, CacheNodes {
    private final Dispatcher dispatcher;

    /** Offers this core's. */
    public DispatcherPeerPorts(Dispatcher dispatcher) {
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
}

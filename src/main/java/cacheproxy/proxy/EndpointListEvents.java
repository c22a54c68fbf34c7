package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.proxy.upstream.UpstreamServers;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Applies updates of the endpoint list: to the connections, then to the load balancer, then to the listeners. Counts
 * polls and failed ones, and logs failed polls, rejected entries and changes of the list. Event loop only.
 */
public final class EndpointListEvents implements EndpointListPublisher.Subscriber {
    private final RequestSettings settings;
    private final UpstreamServers servers;
    private final SerialExecutor executor;
    private final SerialLoadBalancer loadBalancer;
    private final PeerLinks peerLinks;
    private final ProvenanceTracker provenance;
    private final Counters counters;
    private final EventLog log;
    private final List<Consumer<EndpointUpdateKind>> listeners = new ArrayList<>();

    EndpointListEvents(
            RequestSettings settings,
            UpstreamServers servers,
            SerialExecutor executor,
            SerialLoadBalancer loadBalancer,
            PeerLinks peerLinks,
            ProvenanceTracker provenance,
            Counters counters,
            EventLog log) {
        this.settings = settings;
        this.servers = servers;
        this.executor = executor;
        this.loadBalancer = loadBalancer;
        this.peerLinks = peerLinks;
        this.provenance = provenance;
        this.counters = counters;
        this.log = log;
    }

    /** Adds a listener that receives the kind of each update after it was applied. */
    void addListener(Consumer<EndpointUpdateKind> listener) {
        listeners.add(listener);
    }

    @Override
    public void onPollStarted() {
        counters.increment(Metric.ENDPOINT_LIST_POLLS);
    }

    @Override
    public void onPollFailed(LogMessage message) {
        counters.increment(Metric.ENDPOINT_LIST_POLL_FAILURES);
        log.log(EventKind.ENDPOINT_LIST_POLL_FAILED, message);
        peerLinks.endpointListPollFailed();
    }

    @Override
    public void onEntryRejected(LogMessage message) {
        log.log(EventKind.ENDPOINT_LIST_ENTRY_INVALID, message);
    }

    @Override
    public void onEndpoints(EndpointUpdateKind kind, List<DiscoveredEndpoint> endpoints) {
        servers.update(kind, endpoints, settings.config().streamsPerConnection());
        boolean accepted = loadBalancer.endpointsChanged(kind, endpoints);
        executor.runSerially(servers::endUnsent);
        if (!accepted) {
            throw new EndpointListRejectedException("the load balancer failed on an update of the endpoint list");
        }
        listeners.forEach(listener -> executor.runSerially(() -> listener.accept(kind)));
    }

    @Override
    public void onListChanged(LogMessage message) {
        log.log(EventKind.ENDPOINT_LIST_CHANGED, message);
    }

    @Override
    public void onListApplied(long version) {
        provenance.confirmed(ProvenanceTracker.Subject.ENDPOINT_LIST);
        peerLinks.endpointListApplied(version);
    }
}

package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.Metric;
import cacheproxy.proxy.discovery.Host;
import cacheproxy.proxy.discovery.ProvisionalList;
import cacheproxy.recovery.Trust;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Puts updates of the endpoint list to use, in this order: connections, load balancer, listeners. Counts and logs what
 * became of polls. Event loop only.
 */
final class EndpointListEvents implements ProvisionalList.User {
    private final RequestSettings settings;
    private final Servers servers;
    private final SerialExecutor executor;
    private final SerialLoadBalancer loadBalancer;
    private final PeerLinks peerLinks;
    private final Trust trust;
    private final Counters counters;
    private final EventLog log;
    private final List<Consumer<EndpointUpdateKind>> listeners = new ArrayList<>();

    EndpointListEvents(
            RequestSettings settings,
            Servers servers,
            SerialExecutor executor,
            SerialLoadBalancer loadBalancer,
            PeerLinks peerLinks,
            Trust trust,
            Counters counters,
            EventLog log) {
        this.settings = settings;
        this.servers = servers;
        this.executor = executor;
        this.loadBalancer = loadBalancer;
        this.peerLinks = peerLinks;
        this.trust = trust;
        this.counters = counters;
        this.log = log;
    }

    /** Adds a listener that is told the kind of each update once it is in use. */
    void addListener(Consumer<EndpointUpdateKind> listener) {
        listeners.add(listener);
    }

    @Override
    public void called() {
        counters.increment(Metric.ENDPOINT_LIST_POLLS);
    }

    @Override
    public void callFailed(String reason) {
        counters.increment(Metric.ENDPOINT_LIST_POLL_FAILURES);
        log.log(EventKind.ENDPOINT_LIST_POLL_FAILED, reason);
        peerLinks.endpointListPollFailed();
    }

    @Override
    public void leftOut(String what) {
        log.log(EventKind.ENDPOINT_LIST_ENTRY_INVALID, what);
    }

    @Override
    public void listed(EndpointUpdateKind kind, List<Host> hosts) {
        servers.listed(kind, hosts, settings.config().streamsPerConnection());
        boolean accepted = loadBalancer.endpointsChanged(kind, hosts);
        executor.runSerially(servers::withdraw);
        if (!accepted) {
            throw new EndpointListRejectedException("the decision module does not take the list");
        }
        listeners.forEach(listener -> executor.runSerially(() -> listener.accept(kind)));
    }

    @Override
    public void changed(String what) {
        log.log(EventKind.ENDPOINT_LIST_CHANGED, what);
    }

    @Override
    public void inUse(long version) {
        trust.confirmed(Trust.Thing.LIST);
        peerLinks.endpointListInUse(version);
    }
}

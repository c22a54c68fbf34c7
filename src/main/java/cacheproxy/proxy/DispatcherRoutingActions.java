package cacheproxy.proxy;

import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.proxy.upstream.UpstreamServer;
import cacheproxy.proxy.upstream.UpstreamServers;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.RoutingActions;

/**
 * Carries out the actions that the load balancer requests. Actions on requests that are already completed have no
 * effect. Event loop only.
 */
final class DispatcherRoutingActions implements RoutingActions {
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final AttemptStarter starter;
    private final AttemptLifecycle attempts;
    private final RequestCompletion completion;
    private final SerialLoadBalancer loadBalancer;
    private final Timers timers;
    private final UpstreamServers servers;
    private final EventLog log;
    private final PeerLinks peerLinks;
    private final EndpointListSource discovery;
    private final PeerDatagramSocket peers;

    DispatcherRoutingActions(
            RequestTable requests,
            RequestLifecycle lifecycle,
            AttemptStarter starter,
            AttemptLifecycle attempts,
            RequestCompletion completion,
            SerialLoadBalancer loadBalancer,
            Timers timers,
            UpstreamServers servers,
            EventLog log,
            PeerLinks peerLinks,
            EndpointListSource discovery,
            PeerDatagramSocket peers) {
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.starter = starter;
        this.attempts = attempts;
        this.completion = completion;
        this.loadBalancer = loadBalancer;
        this.timers = timers;
        this.servers = servers;
        this.log = log;
        this.peerLinks = peerLinks;
        this.discovery = discovery;
        this.peers = peers;
    }

    @Override
    public void send(int requestId, int server, double timeoutMs) {
        ClientRequest request = requests.get(requestId);
        if (request == null || request.isCompleted()) {
            log.log(
                    EventKind.INTERNAL_ERROR,
                    LogMessage.of("attempt requested for a completed request").with("number", requestId));
            return;
        }
        starter.start(request, server, timeoutMs);
    }

    @Override
    public void reject(int requestId, double retryAfterMs) {
        ClientRequest request = requests.get(requestId);
        if (request != null) {
            lifecycle.reject(request, retryAfterMs);
        }
    }

    @Override
    public void fail(int requestId) {
        ClientRequest request = requests.get(requestId);
        if (request != null) {
            completion.fail(request);
        }
    }

    @Override
    public void cancel(int requestId, int attemptIndex) {
        ClientRequest request = requests.get(requestId);
        if (request != null && attemptIndex < request.attempts.size()) {
            attempts.cancel(request.attempts.get(attemptIndex));
        }
    }

    @Override
    public void setTimer(double afterMs, int token) {
        timers.after(afterMs, () -> loadBalancer.timerExpired(token));
    }

    @Override
    public void checkHealth(int server) {
        starter.startHealthCheck(server);
    }

    @Override
    public void closeIdle(int server) {
        UpstreamServer upstream = servers.get(server);
        if (upstream != null) {
            upstream.pool.closeIdle(Double.MAX_VALUE);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        peers.send(peer, PeerMessageKind.LOAD_BALANCER, message);
    }

    @Override
    public void setWatch(boolean on) {
        discovery.setWatch(on);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetchSnapshot();
    }

    @Override
    public void reportSignal(int server, EndpointSignal signal) {
        peerLinks.endpointSignaled(server, signal);
    }

    @Override
    public void log(String line) {
        log.log(EventKind.INFO, line);
    }
}

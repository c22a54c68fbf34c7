package cacheproxy.proxy.discovery;

import cacheproxy.gossip.EndpointListDelta;
import cacheproxy.gossip.LocalStartTimes;
import cacheproxy.gossip.ProvisionalEndpoints;
import cacheproxy.metrics.LogMessage;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Publishes the endpoint list to its subscriber: discovery's list, restricted by the changes of newer versions that
 * peers have sent ({@link ProvisionalEndpoints}), with start times by this process's clock. Adds the endpoints'
 * addresses, which peers do not send. On the event loop only.
 */
public final class EndpointListPublisher implements DiscoveryClient.Listener {
    /** Applies the list. All methods run on the event loop. */
    public interface Subscriber {
        /**
         * Receives the complete list, changes to it, or changes from a peer ({@code PROVISIONAL}). Throws any exception
         * if it can't apply them.
         */
        void onEndpoints(EndpointUpdateKind kind, List<DiscoveredEndpoint> endpoints);

        /** The list has changed; {@code message} is for the log: the version, its source and the changed endpoints. */
        void onListChanged(LogMessage message);

        /** Everything that discovery has sent up to this version is in use. */
        void onListApplied(long version);

        /** A poll is about to be sent. */
        void onPollStarted();

        /** A poll has failed or was cancelled; {@code message} is for the log. */
        void onPollFailed(LogMessage message);

        /** An entry of the list was ignored; {@code message} is for the log. */
        void onEntryRejected(LogMessage message);
    }

    private final Subscriber subscriber;
    private final ProvisionalEndpoints provisionalEndpoints;
    private final DoubleSupplier nowMs;
    private final LocalStartTimes startTimes = new LocalStartTimes();
    /** Discovery's list, by the endpoints' ids. */
    private final Map<Integer, DiscoveredEndpoint> endpointsById = new HashMap<>();

    /** {@code nowMs}: the subscriber's clock, in milliseconds. */
    public EndpointListPublisher(
            Subscriber subscriber, ProvisionalEndpoints provisionalEndpoints, DoubleSupplier nowMs) {
        this.subscriber = subscriber;
        this.provisionalEndpoints = provisionalEndpoints;
        this.nowMs = nowMs;
    }

    /** Discovery's list with the peers' restrictions. */
    public ProvisionalEndpoints provisionalEndpoints() {
        return provisionalEndpoints;
    }

    @Override
    public void onEndpoints(EndpointUpdateKind kind, long version, List<DiscoveredEndpoint> discovered) {
        if (kind.isSnapshot()) {
            endpointsById.clear();
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (DiscoveredEndpoint d : discovered) {
            endpointsById.put(d.endpoint().id(), d);
            endpoints.add(d.endpoint());
        }
        double now = nowMs.getAsDouble();
        if (kind == EndpointUpdateKind.CACHED) {
            provisionalEndpoints.reset(version, endpoints);
            subscriber.onEndpoints(kind, withAddresses(startTimes.reset(now, endpoints)));
        } else {
            publish(now, kind, version, endpoints);
        }
        endpointsById.values().removeIf(d -> d.endpoint().state() == EndpointState.REMOVED);
    }

    private void publish(double now, EndpointUpdateKind kind, long version, List<Endpoint> endpoints) {
        List<Endpoint> used = provisionalEndpoints.onDiscoveryUpdate(now, version, kind.isSnapshot(), endpoints);
        subscriber.onEndpoints(kind, withAddresses(startTimes.onUpdate(now, used)));
        subscriber.onListApplied(version);
        reportChange(changeOf(version, "discovery").with("snapshot", kind.isSnapshot()), used);
    }

    /** A peer has sent changes that it received from discovery; {@code peer}: its number. */
    public void onPeerUpdate(double now, int peer, EndpointListDelta delta) {
        List<Endpoint> changed = provisionalEndpoints.onPeerUpdate(now, delta);
        if (!changed.isEmpty()) {
            subscriber.onEndpoints(
                    EndpointUpdateKind.PROVISIONAL, withAddresses(startTimes.withLocalStartTimes(now, changed)));
            reportChange(changeOf(delta.version(), "peer").with("peer", peer), changed);
        }
    }

    private static LogMessage changeOf(long version, String source) {
        return LogMessage.of("endpoint list changed").with("version", version).with("source", source);
    }

    private void reportChange(LogMessage message, List<Endpoint> changed) {
        if (!changed.isEmpty()) {
            subscriber.onListChanged(EndpointChangeText.append(message, changed));
        }
    }

    private List<DiscoveredEndpoint> withAddresses(List<Endpoint> endpoints) {
        List<DiscoveredEndpoint> addressed = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            DiscoveredEndpoint known = endpointsById.get(endpoint.id());
            addressed.add(new DiscoveredEndpoint(endpoint, known.address(), known.attributes()));
        }
        return addressed;
    }

    @Override
    public void onPollStarted() {
        subscriber.onPollStarted();
    }

    @Override
    public void onPollFailed(LogMessage message) {
        subscriber.onPollFailed(message);
    }

    @Override
    public void onEntryRejected(LogMessage message) {
        subscriber.onEntryRejected(message);
    }
}

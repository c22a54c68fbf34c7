package cacheproxy.proxy.lifecycle;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.gossip.ListVersionGossip;
import cacheproxy.membership.ServicePhase;
import cacheproxy.proxy.Config;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.DispatcherPeerContext;
import cacheproxy.proxy.RecoveryCoordinator;
import cacheproxy.proxy.StatePersistence;
import cacheproxy.proxy.ZoneFailoverCoordinator;
import cacheproxy.proxy.ZoneOperations;
import cacheproxy.proxy.ZoneStateCodec;
import cacheproxy.proxy.client.ClientAcceptor;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListPublisher;
import cacheproxy.proxy.peer.EndpointGossipLink;
import cacheproxy.proxy.peer.MembershipLink;
import cacheproxy.proxy.peer.OutlierGossipLink;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.proxy.peer.StateQueryLink;
import cacheproxy.recovery.Provenance;
import cacheproxy.recovery.ProvenanceTracker;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import com.google.gson.JsonPrimitive;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The instance's participation in its fleet: the membership view, zone decisions and recovery, as far as
 * {@link FleetFeatures} enables them and the settings allow peer messages. On the event loop only.
 */
final class FleetParticipation {
    private final Dispatcher dispatcher;
    private final PeerDatagramSocket peers;
    private final DiscoveryClient discovery;
    private final ClientAcceptor acceptor;
    /** Null where nothing is stored. */
    private final StatePersistence statePersistence;

    private final RestoredState restored;
    private final boolean tookOver;
    private final Supplier<Config> config;

    /** Null where this instance takes no part in the membership view. */
    private MembershipLink members;
    /** Null where it takes no part in zone decisions. */
    private ZoneFailoverCoordinator zones;
    /** Null where it does not coordinate its recovery. */
    private RecoveryCoordinator recovery;

    /**
     * Creates the participation of an instance that has not joined.
     *
     * @param statePersistence null where nothing is stored
     * @param tookOver whether another process served for this instance until now
     * @param config supplies the current configuration
     */
    FleetParticipation(
            Dispatcher dispatcher,
            PeerDatagramSocket peers,
            DiscoveryClient discovery,
            ClientAcceptor acceptor,
            StatePersistence statePersistence,
            RestoredState restored,
            boolean tookOver,
            Supplier<Config> config) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.discovery = discovery;
        this.acceptor = acceptor;
        this.statePersistence = statePersistence;
        this.restored = restored;
        this.tookOver = tookOver;
        this.config = config;
    }

    /** Starts to exchange versions and changes of the endpoint list with peers. */
    void startListGossip(EndpointListPublisher list) {
        Config config = this.config.get();
        RoutingSettings settings = config.settings();
        ListVersionGossip gossip =
                new ListVersionGossip(settings.instanceCount(), settings.instanceSeed(config.seed()));
        gossip.start(discovery.version());
        EndpointGossipLink link = new EndpointGossipLink(
                new DispatcherPeerContext(dispatcher),
                peers,
                discovery,
                list,
                gossip,
                () -> dispatcher.settings().pollsDiscovery(),
                settings.instanceSeed(config.seed() + 1));
        dispatcher.peerLinks().setEndpointListGossip(link);
    }

    /** Starts the enabled features. */
    void join(FleetFeatures features) {
        if (config.get().settings().peerMessagesAllowed() && features.any()) {
            joinMembership(features);
        }
        if (features.recovery() && members != null) {
            ProvenanceTracker.Entry learned = dispatcher.provenance().entry(ProvenanceTracker.Subject.LEARNED_STATE);
            boolean nothingLearned = learned.provenance() == Provenance.NONE;
            DispatcherPeerContext ports = new DispatcherPeerContext(dispatcher);
            dispatcher
                    .peerLinks()
                    .setStateQueries(new StateQueryLink(
                            ports,
                            ports,
                            peers,
                            members,
                            discovery,
                            dispatcher.settings().instanceIndex(),
                            nothingLearned));
        }
        if (features.recovery()) {
            recovery = new RecoveryCoordinator(dispatcher, members, acceptor, tookOver, this::restartDiscovery);
        }
    }

    private void joinMembership(FleetFeatures features) {
        Config current = config.get();
        members = new MembershipLink(
                new DispatcherPeerContext(dispatcher),
                peers,
                current.settings(),
                restored.incarnation(),
                current.seed(),
                features.recovery() ? ServicePhase.STARTING : ServicePhase.SERVING,
                dispatcher.peerLinks()::liveMembersChanged);
        dispatcher.peerLinks().setMembership(members, outlierGossip());
        if (features.zones()) {
            zones = new ZoneFailoverCoordinator(
                    dispatcher,
                    members,
                    current.settings(),
                    current.zones(),
                    restored.zoneDecisions(RecordKind.ZONE_STATES, current.zones()),
                    restored.zoneDecisions(RecordKind.OPERATOR_ORDERS, current.zones()));
            dispatcher.peerLinks().setZoneFailover(zones);
        }
        if (statePersistence != null) {
            statePersistence.persistFleetState(members::incarnation, zones);
            members.onChange(statePersistence::fleetStateChanged);
        }
    }

    private OutlierGossipLink outlierGossip() {
        return new OutlierGossipLink(
                dispatcher::now,
                peers,
                new DispatcherPeerContext(dispatcher),
                members::view,
                (peer, message) ->
                        dispatcher.peerLinks().messageReceived(peer, PeerMessageKind.LOAD_BALANCER, message));
    }

    private void restartDiscovery() {
        discovery.start(config.get().initialEndpointList());
    }

    /** Announces to the fleet that this instance drains. */
    void announceDraining() {
        if (members != null) {
            members.phase(ServicePhase.DRAINING);
        }
    }

    /**
     * Announces to the fleet that this instance serves again, unless it coordinates its recovery: then the recovery
     * coordinator announces the phases.
     */
    void announceServing() {
        if (members != null && recovery == null) {
            members.phase(ServicePhase.SERVING);
        }
    }

    /** Announces to the fleet that this instance leaves for good. */
    void leave() {
        if (members != null) {
            members.leave();
        }
    }

    /** The records that a successor needs, in the form in which they are stored. */
    Map<RecordKind, StoredRecord> records() {
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        double now = dispatcher.now();
        if (members != null) {
            records.put(
                    RecordKind.INCARNATION,
                    new StoredRecord(RecordKind.INCARNATION, now, new JsonPrimitive(members.incarnation())));
        }
        if (zones != null) {
            Map<Integer, StoredZoneState> decisions = zones.failover().statesToStore();
            records.put(
                    RecordKind.ZONE_STATES,
                    new StoredRecord(
                            RecordKind.ZONE_STATES, now, ZoneStateCodec.encode(decisions, false, zones.zoneNames())));
            records.put(
                    RecordKind.OPERATOR_ORDERS,
                    new StoredRecord(
                            RecordKind.OPERATOR_ORDERS,
                            now,
                            ZoneStateCodec.encode(decisions, true, zones.zoneNames())));
        }
        return records;
    }

    /** The progress of recovery, and the stored state. */
    RecoveryStatus recoveryStatus() {
        return new RecoveryStatus(
                dispatcher.provenance(),
                recovery == null ? null : recovery.progress(),
                recovery == null ? null : recovery.rebalancer(),
                recovery == null ? 0 : recovery.requestsPerSecond(),
                statePersistence == null ? null : statePersistence.openedState(),
                statePersistence == null ? null : statePersistence.recordStore(),
                statePersistence == null ? null : statePersistence.path().toString(),
                statePersistence != null && statePersistence.hasLock());
    }

    /** The fleet's zone decisions; null where this instance takes no part in them. */
    ZoneOperations zoneDecisions() {
        return zones == null ? null : new ZoneOperations(zones);
    }

    /** The membership view; null where this instance takes no part in it. */
    FleetViewStatus viewStatus() {
        return members == null
                ? null
                : new FleetViewStatus(
                        members.view(),
                        members.unreadable(),
                        members.deathsRefuted(),
                        peers.budget().droppedDatagrams());
    }
}

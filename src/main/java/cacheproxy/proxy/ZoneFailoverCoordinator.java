package cacheproxy.proxy;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.failover.ZoneFailover;
import cacheproxy.failover.ZoneFailoverSettings;
import cacheproxy.failover.ZoneState;
import cacheproxy.failover.ZoneTransition;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.proxy.peer.MembershipLink;
import cacheproxy.proxy.upstream.UpstreamServer;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Carries out the decisions of {@link ZoneFailover}: reports signals of endpoints and updates of the endpoint list to
 * it, passes its directives to the load balancer, and publishes its metadata in the membership view. Event loop only.
 */
public final class ZoneFailoverCoordinator {
    private final Dispatcher dispatcher;
    private final MembershipLink members;
    private final ZoneFailoverSettings settings;
    private final ZoneFailover failover;
    private final List<String> zoneNames;
    /** The plan as last published. */
    private byte[] planMetadata = {};

    /** The health as last published. */
    private byte[] healthMetadata = {};

    /**
     * Zone decisions that were made before the start of this process.
     *
     * @param decisions the decisions by zone index
     * @param valid whether they are recent enough to rely on
     */
    public record RestoredDecisions(Map<Integer, StoredZoneState> decisions, boolean valid) {}

    /**
     * Restores the stored decisions, and starts.
     *
     * @param zoneNames the names of the zones by index
     * @param states zone states decided by the fleet
     * @param orders zone states ordered by operators
     */
    public ZoneFailoverCoordinator(
            Dispatcher dispatcher,
            MembershipLink members,
            RoutingSettings settings,
            List<String> zoneNames,
            RestoredDecisions states,
            RestoredDecisions orders) {
        this.dispatcher = dispatcher;
        this.members = members;
        this.zoneNames = List.copyOf(zoneNames);
        this.settings = new ZoneFailoverSettings(
                settings.instanceIndex(), settings.zone(), settings.zoneCount(), settings.warmUpMs());
        failover = new ZoneFailover(this.settings);
        restore(states);
        restore(orders);
        dispatcher.addEndpointListListener(kind -> endpointsChanged());
        endpointsChanged();
        tickRegularly();
    }

    private void restore(RestoredDecisions restored) {
        failover.restore(dispatcher.now(), restored.decisions(), restored.valid());
    }

    /** The load balancer has received a signal of an endpoint. */
    void onEndpointSignal(int endpointId, EndpointSignal signal) {
        UpstreamServer server = dispatcher.servers().get(endpointId);
        if (server == null) {
            return;
        }
        double now = dispatcher.now();
        boolean responded = signal == EndpointSignal.RESPONDED;
        if (server.origin) {
            failover.onOriginFetch(now, responded);
            return;
        }
        int zone = server.location.zone();
        switch (signal) {
            case RESPONDED, CACHE_MISS -> failover.onResponse(now, zone, responded);
            case UNRESPONSIVE -> failover.onNoResponse(now, zone, endpointId);
        }
    }

    private void endpointsChanged() {
        double now = dispatcher.now();
        int decidedZones = Math.min(settings.zoneCount(), ZoneFailoverSettings.MAX_ZONES);
        for (int z = 0; z < decidedZones; z++) {
            List<Double> warmedUpAtMs = dispatcher.servers().warmedUpAtMs(z, settings.warmUpMs());
            int nodes = warmedUpAtMs.size();
            // A zone is cold until half of its nodes are warm: each key that moves to one of the other nodes misses.
            failover.onEndpoints(z, nodes, nodes == 0 ? now : warmedUpAtMs.get(nodes / 2));
        }
    }

    private void tickRegularly() {
        tick();
        dispatcher.after(ZoneFailover.TICK_MS, this::tickRegularly);
    }

    /**
     * Makes the decisions that are due; also called when the membership view has changed or an operator gave an order.
     */
    void tick() {
        List<ZoneDirective> directives = failover.tick(dispatcher.now(), members.view());
        if (!directives.isEmpty()) {
            dispatcher.applyZoneDirectives(directives);
        }
        failover.takeTransitions().forEach(this::log);
        publishMetadata();
    }

    private void publishMetadata() {
        byte[] nextPlanMetadata = failover.planMetadata();
        byte[] nextHealthMetadata = failover.healthMetadata();
        if (!Arrays.equals(nextPlanMetadata, planMetadata) || !Arrays.equals(nextHealthMetadata, healthMetadata)) {
            planMetadata = nextPlanMetadata;
            healthMetadata = nextHealthMetadata;
            members.note(ZoneFailover.PLAN_METADATA, planMetadata);
            members.note(ZoneFailover.HEALTH_METADATA, healthMetadata);
        }
    }

    /** Logs a transition, except for steps from one partly open state to another by the same cause. */
    private void log(ZoneTransition transition) {
        ZoneState before = transition.before();
        ZoneState after = transition.after();
        if (before.cause() == after.cause() && isPartlyOpen(before) && isPartlyOpen(after)) {
            return;
        }
        dispatcher.log(
                EventKind.INFO,
                LogMessage.of("zone state changed")
                        .with("zone", zoneName(transition.zone()))
                        .with("open", openParts(after))
                        .with("open_before", openParts(before))
                        .with("cause", after.cause().storedName())
                        .with("epoch", after.epoch())
                        .with("reason", transition.reason()));
    }

    private static boolean isPartlyOpen(ZoneState state) {
        return state.trafficParts() > 0 && state.trafficParts() < ZoneState.ALL_PARTS;
    }

    private static String openParts(ZoneState state) {
        return state.trafficParts() + "/" + ZoneState.ALL_PARTS;
    }

    /** The decisions on zones. */
    public ZoneFailover failover() {
        return failover;
    }

    /** The names of the zones by index. */
    public List<String> zoneNames() {
        return zoneNames;
    }

    double nowMs() {
        return dispatcher.now();
    }

    /** A zone's name; its index as text if it has none. */
    String zoneName(int zone) {
        return zone < zoneNames.size() ? zoneNames.get(zone) : String.valueOf(zone);
    }

    /**
     * The index of the zone of this name.
     *
     * @throws IllegalArgumentException if there is none; the message lists the names of all zones
     */
    int zoneIndex(String name) {
        int zone = zoneNames.indexOf(name);
        if (zone < 0) {
            throw new IllegalArgumentException("no zone '" + name + "'; there are: " + String.join(", ", zoneNames));
        }
        return zone;
    }
}

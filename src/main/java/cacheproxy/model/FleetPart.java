package cacheproxy.model;

import cacheproxy.failover.ZoneFailover;
import cacheproxy.failover.ZoneFailoverSettings;
import cacheproxy.gossip.MembershipBudget;
import cacheproxy.gossip.SendBudget;
import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.ServicePhase;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Membership and zone failover of one process, wired as in the proxy; uses the production decision classes. */
final class FleetPart {
    private final VirtualTime time;
    private final RoutingSettings settings;
    private final Membership members;
    private final ZoneFailover zones;
    private final BiConsumer<Integer, byte[]> post;
    private final Consumer<List<ZoneDirective>> order;
    private byte[] plan = {};
    private byte[] sight = {};

    /** {@code post}: sends a message to an instance; {@code order}: passes directives to the decision module. */
    FleetPart(
            RoutingSettings settings,
            long seed,
            VirtualTime time,
            BiConsumer<Integer, byte[]> post,
            Consumer<List<ZoneDirective>> order) {
        this.settings = settings;
        this.time = time;
        this.post = post;
        this.order = order;
        members = new Membership(
                MembershipSettings.forConfigured(settings.instanceCount()),
                settings.instanceIndex(),
                settings.zone(),
                new byte[0],
                0,
                seed,
                new MembershipBudget(new SendBudget(ViewPlay.BYTES_PER_SECOND, ViewPlay.BURST)));
        members.setPhase(ServicePhase.SERVING);
        zones = new ZoneFailover(new ZoneFailoverSettings(
                settings.instanceIndex(), settings.zone(), settings.zoneCount(), settings.warmUpMs()));
    }

    /** Runs membership work that is due; returns when to call again. */
    double view() {
        members.tick(time.now());
        members.takeOutgoing().forEach(s -> post.accept(s.to(), s.body()));
        return members.dueMs();
    }

    void heard(int from, byte[] body) {
        members.messageReceived(time.now(), from, body);
    }

    /** Passes on the current endpoint list. */
    void listed(List<Endpoint> listed) {
        for (int z = 0; z < settings.zoneCount(); z++) {
            int zone = z;
            double[] warmAt = listed.stream()
                    .filter(m ->
                            m.zone() == zone && m.state() == EndpointState.READY && m.kind() != settings.originKind())
                    .mapToDouble(m -> m.startTimeMs() == 0 ? 0 : m.startTimeMs() + settings.warmUpMs())
                    .sorted()
                    .toArray();
            zones.onEndpoints(z, warmAt.length, warmAt.length == 0 ? 0 : warmAt[warmAt.length / 2]);
        }
    }

    /**
     * Runs the zone decisions that are due; to be called every {@link ZoneFailover#TICK_MS}. Returns whether the
     * metadata that membership spreads has changed.
     */
    boolean decide() {
        List<ZoneDirective> orders = zones.tick(time.now(), members.view(time.now()));
        if (!orders.isEmpty()) {
            order.accept(orders);
        }
        byte[] nextPlan = zones.planMetadata();
        byte[] nextSight = zones.healthMetadata();
        boolean changed = !Arrays.equals(nextPlan, plan) || !Arrays.equals(nextSight, sight);
        if (changed) {
            plan = nextPlan;
            sight = nextSight;
            members.setMetadata(ZoneFailover.PLAN_METADATA, plan);
            members.setMetadata(ZoneFailover.HEALTH_METADATA, sight);
        }
        return changed;
    }

    /** A signal of the decision module about a node of a zone, or about the origin. */
    void saw(int zone, int server, boolean origin, EndpointSignal what) {
        if (origin) {
            zones.onOriginFetch(time.now(), what == EndpointSignal.RESPONDED);
        } else if (what == EndpointSignal.UNRESPONSIVE) {
            zones.onNoResponse(time.now(), zone, server);
        } else {
            zones.onResponse(time.now(), zone, what == EndpointSignal.RESPONDED);
        }
    }
}

package cacheproxy.proxy;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.failover.ZoneFailover;
import cacheproxy.failover.ZoneFailoverSettings;
import cacheproxy.failover.ZoneState;
import cacheproxy.failover.ZoneTransition;
import cacheproxy.proxy.peer.MembershipLink;
import cacheproxy.proxy.upstream.UpstreamServer;
import cacheproxy.routing.EndpointSignal;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.ZoneDirective;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Carries out what {@link ZoneFailover} decides: tells it what the decision module saw and what the list holds, passes
 * its orders on, and has the fleet's view carry its notes. On the event loop only.
 */
public final class ZoneFailoverLink {
    private final Dispatcher dispatcher;
    private final MembershipLink members;
    private final ZoneFailoverSettings settings;
    private final ZoneFailover zones;
    private final List<String> names;
    private byte[] plan = {};
    private byte[] sight = {};

    /**
     * Zone decisions from before this process's start.
     *
     * @param decisions by the zones' numbers
     * @param valid whether they are recent enough to decide by
     */
    public record RestoredDecisions(Map<Integer, StoredZoneState> decisions, boolean valid) {}

    /** {@code names}: of the zones, by number; {@code states} and {@code orders}: restored ones. */
    public ZoneFailoverLink(
            Dispatcher dispatcher,
            MembershipLink members,
            RoutingSettings settings,
            List<String> names,
            RestoredDecisions states,
            RestoredDecisions orders) {
        this.dispatcher = dispatcher;
        this.members = members;
        this.names = List.copyOf(names);
        this.settings = new ZoneFailoverSettings(
                settings.instanceIndex(), settings.zone(), settings.zoneCount(), settings.warmUpMs());
        zones = new ZoneFailover(this.settings);
        zones.restore(dispatcher.now(), states.decisions(), states.valid());
        zones.restore(dispatcher.now(), orders.decisions(), orders.valid());
        dispatcher.addEndpointListListener(k -> listed());
        listed();
        run();
    }

    /** The decision module has met this at a server. */
    void saw(int server, EndpointSignal what) {
        UpstreamServer u = dispatcher.servers().get(server);
        if (u == null) {
            return;
        }
        double now = dispatcher.now();
        if (u.origin) {
            zones.onOriginFetch(now, what == EndpointSignal.RESPONDED);
            return;
        }
        switch (what) {
            case RESPONDED, CACHE_MISS -> zones.onResponse(now, u.location.zone(), what == EndpointSignal.RESPONDED);
            case UNRESPONSIVE -> zones.onNoResponse(now, u.location.zone(), server);
        }
    }

    private void listed() {
        double now = dispatcher.now();
        for (int z = 0;
                z < Math.min(settings.zoneCount(), ZoneFailoverSettings.MAX_ZONES);
                z++) { // others take no part
            List<Double> warm = dispatcher.servers().warmedUpAtMs(z, settings.warmUpMs());
            // When half of them are warm; each moved key of the others misses.
            zones.onEndpoints(z, warm.size(), warm.isEmpty() ? now : warm.get(warm.size() / 2));
        }
    }

    private void run() {
        tick();
        dispatcher.after(ZoneFailover.TICK_MS, this::run);
    }

    /** The view has changed, or an operator has spoken: what follows from it need not wait. */
    void tick() {
        List<ZoneDirective> orders = zones.tick(dispatcher.now(), members.view());
        if (!orders.isEmpty()) {
            dispatcher.applyZoneDirectives(orders);
        }
        zones.takeTransitions().forEach(this::tell);
        byte[] nextPlan = zones.planNote();
        byte[] nextSight = zones.healthNote();
        if (!Arrays.equals(nextPlan, plan) || !Arrays.equals(nextSight, sight)) {
            plan = nextPlan;
            sight = nextSight;
            members.note(ZoneFailover.PLAN_NOTE, plan);
            members.note(ZoneFailover.HEALTH_NOTE, sight);
        }
    }

    /**
     * A line where a zone begins to be left, is closed, begins to be returned to, is whole, or an operator has spoken.
     */
    private void tell(ZoneTransition e) {
        boolean step = e.before().cause() == e.after().cause()
                && e.after().openParts() > 0
                && e.after().openParts() < ZoneState.ALL_PARTS
                && e.before().openParts() > 0
                && e.before().openParts() < ZoneState.ALL_PARTS;
        if (!step) {
            dispatcher.log(String.format(
                    Locale.ROOT,
                    "zone %s: %d/%d open, %s, epoch %d (%d/%d before); %s",
                    name(e.zone()),
                    e.after().openParts(),
                    ZoneState.ALL_PARTS,
                    e.after().cause().storedName(),
                    e.after().epoch(),
                    e.before().openParts(),
                    ZoneState.ALL_PARTS,
                    e.reason()));
        }
    }

    /** The decisions. */
    public ZoneFailover zones() {
        return zones;
    }

    /** The zones' names, by number. */
    public List<String> names() {
        return names;
    }

    double now() {
        return dispatcher.now();
    }

    /** A zone's name. */
    String name(int zone) {
        return zone < names.size() ? names.get(zone) : String.valueOf(zone);
    }

    /** The number of the zone of this name; an IllegalArgumentException names those that there are. */
    int number(String name) {
        int zone = names.indexOf(name);
        if (zone < 0) {
            throw new IllegalArgumentException("no zone '" + name + "'; there are: " + String.join(", ", names));
        }
        return zone;
    }
}

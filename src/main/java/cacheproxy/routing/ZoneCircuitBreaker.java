package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether endpoints of a zone may be used as far as the path to the zone is concerned. Two inputs: this instance's own
 * attempts, and the directives of the fleet's failover.
 *
 * <p>Own attempts: a fault between zones would else be found endpoint by endpoint, each at the cost of a request that
 * waits. Where several endpoints of a zone in a row fall silent and none answers, the whole zone is ejected as one
 * endpoint would be.
 *
 * <p>Directives: the draft's member that can't be contacted (CARP draft, section 3.5). Where the fleet has moved a part
 * of a zone's keys away, the same keys at all instances, these go to the next endpoint of their ranking; no other key
 * moves.
 */
final class ZoneCircuitBreaker {
    /** How often the time for which a zone stays open (nothing is sent) doubles with each further failure. */
    private static final int MAX_DOUBLINGS = 3;

    private final Map<Integer, Zone> zones = new HashMap<>();

    private static final class Zone {
        final CircuitBreaker breaker = new CircuitBreaker();
        double trafficFraction = 1;
        boolean probeAllowed;
    }

    /** The fleet's word on a zone, which goes before what this instance has seen there. */
    void apply(ZoneDirective directive) {
        Zone zone = zone(directive.zone());
        zone.trafficFraction = directive.trafficFraction();
        zone.probeAllowed = directive.trafficFraction() < 1 && (zone.probeAllowed || directive.probeAllowed());
        if (directive.resetHealth()) {
            zone.breaker.recordSuccess();
        }
    }

    /** Whether the fleet sends this key to other zones, whatever the rank of the zone's endpoints. */
    boolean isDiverted(int zone, int keyHash) {
        double fraction = zone(zone).trafficFraction;
        return fraction < 1 && CarpHash.keyFraction(keyHash, CarpHash.endpointHash(zone)) >= fraction;
    }

    /** Whether this instance may send one probe request to a zone that is left; few may, as all would else at once. */
    boolean isProbeAllowed(int zone) {
        return zone(zone).probeAllowed;
    }

    /** The one probe request is under way. */
    void probeSent(int zone) {
        zone(zone).probeAllowed = false;
    }

    boolean isOpen(double nowMs, int zone) {
        return zone(zone).breaker.isOpen(nowMs);
    }

    /**
     * An endpoint of the zone that was healthy has fallen silent.
     *
     * @param ejectionMs for how long one endpoint is ejected at first, in milliseconds; the zone is for as long
     */
    void recordUnresponsiveEndpoint(double nowMs, int zone, double ejectionMs) {
        zone(zone).breaker.recordFailure(nowMs, ExponentialBackoff.ofDoublings(ejectionMs, MAX_DOUBLINGS));
    }

    /** An endpoint of the zone has answered, so there is a path. */
    void recordResponse(int zone) {
        zone(zone).breaker.recordSuccess();
    }

    private Zone zone(int index) {
        return zones.computeIfAbsent(index, z -> new Zone());
    }
}

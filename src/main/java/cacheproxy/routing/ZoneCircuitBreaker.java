package cacheproxy.routing;

import cacheproxy.backoff.ExponentialBackoff;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether endpoints of a zone may be used, given the network path to the zone. The decision depends on this
 * instance's own attempts and on the directives of the fleet's failover.
 *
 * <p>Own attempts: without a breaker per zone, a fault between zones would be detected one endpoint at a time, each at
 * the cost of a waiting request. If several endpoints of a zone become unresponsive in a row and none responds, the
 * whole zone is ejected in the same way as an endpoint.
 *
 * <p>Directives: endpoints of a zone that has traffic diverted are treated as members that can't be contacted (CARP
 * draft, section 3.5). The diverted keys, the same at all instances, go to the next endpoint of their ranking; no other
 * key moves.
 */
final class ZoneCircuitBreaker {
    /** How many times the open time of the breaker may double with further failures. */
    private static final int MAX_DOUBLINGS = 3;

    private final Map<Integer, Zone> zones = new HashMap<>();

    private static final class Zone {
        final CircuitBreaker breaker = new CircuitBreaker();
        double trafficFraction = 1;
        boolean probeAllowed;
    }

    /** Applies a directive of the fleet, which takes precedence over this instance's own observations. */
    void apply(ZoneDirective directive) {
        Zone zone = zone(directive.zone());
        zone.trafficFraction = directive.trafficFraction();
        zone.probeAllowed = directive.trafficFraction() < 1 && (zone.probeAllowed || directive.probeAllowed());
        if (directive.resetHealth()) {
            zone.breaker.recordSuccess();
        }
    }

    /** Whether the fleet diverts this key to other zones, regardless of the rank of this zone's endpoints. */
    boolean isDiverted(int zone, int keyHash) {
        double fraction = zone(zone).trafficFraction;
        return fraction < 1 && CarpHash.keyFraction(keyHash, CarpHash.endpointHash(zone)) >= fraction;
    }

    /**
     * Whether this instance may send one probe request to a zone with diverted traffic. Only few instances are allowed
     * to, as otherwise all would probe at once.
     */
    boolean isProbeAllowed(int zone) {
        return zone(zone).probeAllowed;
    }

    /** The one probe request has been sent. */
    void probeSent(int zone) {
        zone(zone).probeAllowed = false;
    }

    boolean isOpen(double nowMs, int zone) {
        return zone(zone).breaker.isOpen(nowMs);
    }

    /**
     * A healthy endpoint of the zone has become unresponsive.
     *
     * @param ejectionMs the first open time, in milliseconds; the same as the first ejection of an endpoint
     */
    void recordUnresponsiveEndpoint(double nowMs, int zone, double ejectionMs) {
        zone(zone).breaker.recordFailure(nowMs, ExponentialBackoff.ofDoublings(ejectionMs, MAX_DOUBLINGS));
    }

    /** An endpoint of the zone has responded, so the zone can be reached. */
    void recordResponse(int zone) {
        zone(zone).breaker.recordSuccess();
    }

    private Zone zone(int index) {
        return zones.computeIfAbsent(index, z -> new Zone());
    }
}

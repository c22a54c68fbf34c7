package cacheproxy.failover;

/**
 * How a zone stands, for operators.
 *
 * @param zone its number
 * @param trafficFraction the part of its keys that goes there, 0 to 1, as this instance's load balancer is told
 * @param state as decided
 * @param ownHealth as this instance sees it
 * @param fleetVerdict of those that are heard, by its name in operators' answers
 * @param unchangedMs how long the state has not changed, in milliseconds; infinite if it never did
 * @param reason of the last change; for people
 */
public record ZoneStatus(
        int zone,
        double trafficFraction,
        ZoneState state,
        ZoneHealth ownHealth,
        String fleetVerdict,
        double unchangedMs,
        String reason) {}

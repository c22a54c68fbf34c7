package cacheproxy.failover;

/**
 * The status of a zone, for operators.
 *
 * @param zone its number
 * @param trafficFraction the fraction of its keys that is sent there, 0 to 1, as directed to this instance's load
 *     balancer
 * @param state the decided state
 * @param ownHealth the health that this instance observes
 * @param fleetVerdict the verdict of the instances that are heard, by its name in answers to operators
 * @param unchangedMs the time since the state last changed, in milliseconds; infinite if it never did
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

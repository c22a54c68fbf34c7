/**
 * Zone failover: when the fleet moves its traffic away from a zone whose cache nodes fail, and how it returns. All
 * instances that hear each other decide this together, without a leader. Pure decision logic: times, observations and
 * other instances' reports go in; directives for the load balancer and metadata for the fleet's view come out. The
 * reasons behind the design are in {@code docs/design/zones.md}.
 *
 * <p>{@link cacheproxy.failover.ZoneHealthMonitor} aggregates what this instance observes,
 * {@link cacheproxy.failover.ZoneFaultDetector} reaches a verdict from the reports of all instances,
 * {@link cacheproxy.failover.ZoneDecision} derives the decision that is due and
 * {@link cacheproxy.failover.RecoveryRamp} its pace. {@link cacheproxy.failover.FailoverPlan} holds the decisions and
 * defines how they merge. {@link cacheproxy.failover.ZoneFailover} is the entry point.
 */
package cacheproxy.failover;

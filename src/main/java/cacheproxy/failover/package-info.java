/**
 * When a fleet leaves a zone whose cache nodes fail, and how it returns; decided by all instances that hear each other,
 * without a leader. Pure decisions: times, observations and others' reports in; directives for the load balancer and
 * notes for the fleet's view out. Why it is so: {@code docs/design/zones.md}.
 *
 * <p>{@link cacheproxy.failover.ZoneHealthMonitor} sums what this instance observes,
 * {@link cacheproxy.failover.ZoneFaultDetector} comes to a verdict by what all report,
 * {@link cacheproxy.failover.ZoneDecision} says what should be decided then and
 * {@link cacheproxy.failover.RecoveryRamp} how soon; {@link cacheproxy.failover.FailoverPlan} is what is decided, and
 * merges by a stated order. {@link cacheproxy.failover.ZoneFailover} is where to begin.
 */
package cacheproxy.failover;

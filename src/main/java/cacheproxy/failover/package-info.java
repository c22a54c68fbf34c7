/**
 * When a fleet leaves a zone whose cache nodes fail, and how it returns, decided by all that hear each other as one and
 * without a leader. Decisions without I/O: times, what was seen and what others say come in; how far each zone is open,
 * whom to try, and what to say go out.
 *
 * <p>{@link cacheproxy.failover.ZoneHealthMonitor} sums what this instance sees,
 * {@link cacheproxy.failover.ZoneFaultDetector} tells the cases apart by what all say,
 * {@link cacheproxy.failover.FailoverPlan} is what is decided (it merges by a stated order),
 * {@link cacheproxy.failover.RecoveryRamp} says how soon the next step may come, and
 * {@link cacheproxy.failover.ZoneFailover} puts them together. Why it is so stands in {@code docs/design/zones.md}.
 */
package cacheproxy.failover;

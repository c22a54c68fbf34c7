package cacheproxy.failover;

import cacheproxy.failover.ZoneFaultDetector.ZoneCondition;
import cacheproxy.failover.ZoneState.Cause;

/**
 * What one instance holds of a zone beside what is decided of it. Mutable; owned by {@link ZoneFailover}. Times in
 * milliseconds of one clock, minus infinity for never.
 */
final class ZoneTracker {
    /** A zone that is not found healthy, or degraded, for so long has to be found so anew. */
    static final double VERDICT_GAP_MS = 2000;

    /** The next decision has an epoch beyond this one. */
    int minEpoch;
    /** Its cache nodes on the list that may be sent requests. */
    int readyNodes = 1;
    /** When half of its nodes will have warmed up. */
    double coldUntilMs = Double.NEGATIVE_INFINITY;

    /** Whether the last step opened it further. */
    boolean opening;
    /** Whether it was left though it responded: what speaks for it has to do so for longer. */
    boolean leftDegraded;
    /** When the decision changed last, and why. */
    double changedMs = Double.NEGATIVE_INFINITY;

    String changeReason = "never left";

    ZoneCondition verdict = ZoneCondition.UNCERTAIN;
    /** Since when it was found degraded, or healthy, without a gap; and when it was last. */
    double degradedSinceMs = Double.NEGATIVE_INFINITY;

    double lastDegradedMs = Double.NEGATIVE_INFINITY;
    double healthySinceMs = Double.NEGATIVE_INFINITY;
    double lastHealthyMs = Double.NEGATIVE_INFINITY;

    /** What should be decided now, and since when; null for nothing. */
    ZoneState proposal;

    double proposedMs;
    /** Between two steps of an order to leave that was given to this instance; 0 if none was. */
    double leaveStepMs;

    /** How far the load balancer was last told that the zone is open. */
    int directedParts = ZoneState.ALL_PARTS;
    /** When this instance last probed it. */
    double probedMs = Double.NEGATIVE_INFINITY;
    /** Since when this instance itself sees it at fault; NaN while it does not. */
    double faultySinceMs = Double.NaN;

    /** All live instances together come to this verdict now. */
    void onVerdict(double nowMs, ZoneCondition now) {
        verdict = now;
        if (now == ZoneCondition.DEGRADED) {
            degradedSinceMs = nowMs - lastDegradedMs > VERDICT_GAP_MS ? nowMs : degradedSinceMs;
            lastDegradedMs = nowMs;
            lastHealthyMs = Double.NEGATIVE_INFINITY;
        }
        if (now == ZoneCondition.HEALTHY) {
            healthySinceMs = nowMs - lastHealthyMs > VERDICT_GAP_MS ? nowMs : healthySinceMs;
            lastHealthyMs = nowMs;
        }
    }

    /** Something should be decided; null for nothing. */
    void onProposal(double nowMs, ZoneState next) {
        if (next != null && !next.equals(proposal)) {
            proposedMs = nowMs;
        }
        proposal = next;
    }

    /** The decision has changed. */
    void onChange(double nowMs, ZoneState before, ZoneState after, String reason) {
        opening = after.trafficParts() > before.trafficParts();
        leftDegraded =
                after.trafficParts() > 0 ? !opening : leftDegraded && before.trafficParts() < ZoneState.ALL_PARTS;
        changedMs = nowMs;
        changeReason = reason;
        proposal = null;
        if (after.cause() != Cause.LEAVE) {
            leaveStepMs = 0;
        }
    }

    /** How this instance itself sees the zone. */
    void onOwnHealth(double nowMs, ZoneHealth health) {
        if (!health.isFaulty()) {
            faultySinceMs = Double.NaN;
        } else if (Double.isNaN(faultySinceMs)) {
            faultySinceMs = nowMs;
        }
    }
}

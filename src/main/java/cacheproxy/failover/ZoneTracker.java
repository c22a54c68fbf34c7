package cacheproxy.failover;

import cacheproxy.failover.ZoneFaultDetector.ZoneCondition;
import cacheproxy.failover.ZoneState.Cause;

/**
 * What one instance tracks of a zone beside its decided state. Mutable; owned by {@link ZoneFailover}. Times in
 * milliseconds of one clock, negative infinity for never.
 */
final class ZoneTracker {
    /** A verdict of healthy or degraded that is missing for longer than this has to persist anew. */
    static final double VERDICT_GAP_MS = 2000;

    /** The epoch that the next decision has to exceed. */
    int minEpoch;
    /** The number of its cache nodes on the endpoint list that may receive requests. */
    int readyNodes = 1;
    /** When half of its nodes will have warmed up. */
    double coldUntilMs = Double.NEGATIVE_INFINITY;

    /** Whether the last step opened it further. */
    boolean opening;
    /** Whether it was left while it still responded: it then has to be healthy for longer before it is opened. */
    boolean leftDegraded;
    /** When the decision changed last, and why. */
    double changedMs = Double.NEGATIVE_INFINITY;

    String changeReason = "never left";

    ZoneCondition verdict = ZoneCondition.UNCERTAIN;
    /** Since when it has been found degraded, or healthy, without a gap; and when it last was. */
    double degradedSinceMs = Double.NEGATIVE_INFINITY;

    double lastDegradedMs = Double.NEGATIVE_INFINITY;
    double healthySinceMs = Double.NEGATIVE_INFINITY;
    double lastHealthyMs = Double.NEGATIVE_INFINITY;

    /** The decision that is due, and since when; null for none. */
    ZoneState proposal;

    double proposedMs;
    /** The time between two steps of an order to leave that this instance received; 0 if it received none. */
    double leaveStepMs;

    /** The open parts that the load balancer was last directed to use. */
    int directedParts = ZoneState.ALL_PARTS;
    /** When this instance last probed it. */
    double probedMs = Double.NEGATIVE_INFINITY;
    /** Since when this instance itself has observed a fault of the zone; NaN while it observes none. */
    double faultySinceMs = Double.NaN;

    /** Records the present verdict of all live instances together. */
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

    /** Records the decision that is due; null for none. */
    void onProposal(double nowMs, ZoneState next) {
        if (next != null && !next.equals(proposal)) {
            proposedMs = nowMs;
        }
        proposal = next;
    }

    /** Records a changed decision. */
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

    /** Records the health that this instance itself observes. */
    void onOwnHealth(double nowMs, ZoneHealth health) {
        if (!health.isFaulty()) {
            faultySinceMs = Double.NaN;
        } else if (Double.isNaN(faultySinceMs)) {
            faultySinceMs = nowMs;
        }
    }
}

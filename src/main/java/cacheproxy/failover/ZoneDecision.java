package cacheproxy.failover;

import cacheproxy.failover.ZoneState.Cause;

/**
 * The decision that is due on one zone at one moment; the same at all instances that hold the same plan and reports.
 *
 * <pre>
 * cause      verdict        decision
 * HOLD       any            none
 * LEAVE      any            one part less after each step time
 * RETURN     any            a step of the recovery ramp; once open, EVIDENCE
 * EVIDENCE   UNREACHABLE    closed at once
 *            DEGRADED       a drain step, if the verdict persists and all other zones are open
 *            HEALTHY        a step of the recovery ramp, if the verdict persists; once open, the leave count decays
 *            UNCERTAIN      a drain step, if the zone was being drained as degraded; once open, as HEALTHY
 * </pre>
 *
 * <p>Decisions on EVIDENCE require a quorum. Times in milliseconds.
 */
final class ZoneDecision {
    /**
     * The step time of an operator's order to leave at the instances that did not receive it: they continue the order
     * if no step was made for this long.
     */
    private static final double CONTINUE_ORDER_AFTER_MS = 6000;

    private final double nowMs;
    private final int zone;
    private final FailoverPlan plan;
    private final ZoneState state;
    private final ZoneTracker tracker;
    private final ZoneFaultDetector detector;
    private final double warmUpMs;

    /** {@code warmUpMs}: how long a node that has just started is cold, in milliseconds. */
    ZoneDecision(
            double nowMs,
            int zone,
            FailoverPlan plan,
            ZoneTracker tracker,
            ZoneFaultDetector detector,
            double warmUpMs) {
        this.nowMs = nowMs;
        this.zone = zone;
        this.plan = plan;
        this.tracker = tracker;
        this.detector = detector;
        this.warmUpMs = warmUpMs;
        state = plan.stateOf(zone);
    }

    /** The next state; null if no decision is due. {@code quorum}: whether this instance hears enough of the fleet. */
    ZoneState next(boolean quorum) {
        return switch (state.cause()) {
            case HOLD -> null;
            case LEAVE -> leaveStep();
            case RETURN ->
                state.trafficParts() == ZoneState.ALL_PARTS
                        ? state.next(state.trafficParts(), Cause.EVIDENCE, 0)
                        : recoveryStep();
            case EVIDENCE -> quorum ? decideByEvidence() : null;
        };
    }

    private double sinceChangeMs() {
        return nowMs - tracker.changedMs;
    }

    private ZoneState leaveStep() {
        double stepMs = tracker.leaveStepMs > 0 ? tracker.leaveStepMs : CONTINUE_ORDER_AFTER_MS;
        return state.trafficParts() > 0 && sinceChangeMs() >= stepMs
                ? state.next(state.trafficParts() - 1, Cause.LEAVE, state.leaveCount())
                : null;
    }

    private ZoneState decideByEvidence() {
        boolean open = state.trafficParts() == ZoneState.ALL_PARTS;
        return switch (tracker.verdict) {
            case UNREACHABLE -> plan.reducedState(zone, 0, state.leaveCount() + 1);
            case DEGRADED -> whenDegraded(open);
            case HEALTHY -> open ? withDecayedLeaveCount() : whenHealthyAgain();
            case UNCERTAIN -> open ? withDecayedLeaveCount() : whenUncertain();
        };
    }

    private ZoneState whenDegraded(boolean open) {
        boolean lasts = nowMs - tracker.degradedSinceMs >= RecoveryRamp.DEGRADED_BEFORE_DRAIN_MS
                && sinceChangeMs() >= RecoveryRamp.DEGRADED_BEFORE_DRAIN_MS;
        if (!lasts || !otherZonesAreOpen()) {
            return null;
        }
        return drainStep(open || tracker.opening ? state.leaveCount() + 1 : state.leaveCount());
    }

    private ZoneState whenHealthyAgain() {
        double requiredMs = RecoveryRamp.requiredHealthyMs(state.leaveCount(), tracker.leftDegraded);
        return !tracker.opening && nowMs - tracker.healthySinceMs < requiredMs ? null : recoveryStep();
    }

    /**
     * As a zone is drained, fewer of its keys are left and less of it is observed, so a drain continues unless the zone
     * is found healthy.
     */
    private ZoneState whenUncertain() {
        return state.trafficParts() > 0
                        && tracker.leftDegraded
                        && otherZonesAreOpen()
                        && sinceChangeMs() >= 2 * RecoveryRamp.DEGRADED_BEFORE_DRAIN_MS
                        && nowMs - tracker.lastHealthyMs > ZoneTracker.VERDICT_GAP_MS
                ? drainStep(state.leaveCount())
                : null;
    }

    private ZoneState drainStep(int leaveCount) {
        return plan.reducedState(zone, Math.max(0, state.trafficParts() - RecoveryRamp.DRAIN_STEP_PARTS), leaveCount);
    }

    /**
     * Whether all other zones are open. While one is not, the rest serve its keys beside their own and may be slow for
     * that reason; leaving a second zone as well could cascade through all zones.
     */
    private boolean otherZonesAreOpen() {
        for (int z = 0; z < plan.zones().size(); z++) {
            if (z != zone && plan.stateOf(z).trafficParts() < ZoneState.ALL_PARTS) {
                return false;
            }
        }
        return true;
    }

    private ZoneState withDecayedLeaveCount() {
        return state.leaveCount() > 0 && sinceChangeMs() >= RecoveryRamp.LEAVE_COUNT_DECAY_MS
                ? state.next(state.trafficParts(), Cause.EVIDENCE, state.leaveCount() - 1)
                : null;
    }

    private ZoneState recoveryStep() {
        boolean cold = nowMs < tracker.coldUntilMs || detector.isCold(zone);
        double stepMs = RecoveryRamp.stepMs(cold, warmUpMs);
        double waitedMs = nowMs - Math.max(tracker.changedMs, tracker.healthySinceMs);
        // A saturated origin delays the ramp but does not stop it: while a zone is left, the other zones' nodes miss,
        // too.
        boolean waitsForOrigin = detector.isOriginSaturated() && waitedMs < RecoveryRamp.MAX_SATURATED_STEPS * stepMs;
        if (sinceChangeMs() < stepMs || waitsForOrigin) {
            return null;
        }
        int parts = Math.min(ZoneState.ALL_PARTS, state.trafficParts() + RecoveryRamp.stepParts(cold));
        return state.next(parts, state.cause(), state.leaveCount());
    }
}

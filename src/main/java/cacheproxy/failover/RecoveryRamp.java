package cacheproxy.failover;

/**
 * How soon a zone may be opened or drained by another step, and by how much. Nodes that stayed warm get their keys back
 * in three steps; at cold nodes each key misses once, so theirs come back part by part over the time of their warm-up.
 * Times in milliseconds.
 */
final class RecoveryRamp {
    /** Between two steps of warm nodes: a decision takes some 0.3 s to all, and its effect has to be observed. */
    static final double STEP_MS = 600;
    /** Parts of the keys that come back by a step where nodes are warm. */
    private static final int WARM_STEP_PARTS = ZoneState.ALL_PARTS / 3;
    /** Parts by which a degraded zone is drained by a step. */
    static final int DRAIN_STEP_PARTS = ZoneState.ALL_PARTS / 3;
    /** How long a zone has to be degraded before it is drained by a step. */
    static final double DEGRADED_BEFORE_DRAIN_MS = 1500;
    /** How long a zone has to be healthy before it is opened, if it was left once lately. */
    private static final double BASE_REQUIRED_HEALTHY_MS = 400;
    /** Each further leave multiplies that time. */
    private static final double REQUIRED_HEALTHY_FACTOR = 50;
    /** The least such time after a zone was degraded: it responds now and then anyway. */
    private static final double MIN_HEALTHY_AFTER_DEGRADED_MS = 6000;
    /** The longest such time. */
    static final double MAX_REQUIRED_HEALTHY_MS = 60_000;
    /** A zone that was open for so long has one leave fewer against it. */
    static final double LEAVE_COUNT_DECAY_MS = 120_000;

    /**
     * A step waits for a saturated origin, but no longer than so many steps take: a recovery then takes at most so many
     * times the warm-up of its nodes. A closed zone keeps the origin busy itself.
     */
    static final double MAX_SATURATED_STEPS = 1.5;

    private RecoveryRamp() {}

    /**
     * How long a zone has to be healthy before it is opened, in milliseconds.
     *
     * @param leaveCount how often it was left lately
     * @param leftDegraded whether it was left though it responded
     */
    static double requiredHealthyMs(int leaveCount, boolean leftDegraded) {
        double byLeavesMs = BASE_REQUIRED_HEALTHY_MS * Math.pow(REQUIRED_HEALTHY_FACTOR, Math.max(0, leaveCount - 1));
        return Math.max(
                leftDegraded ? MIN_HEALTHY_AFTER_DEGRADED_MS : 0, Math.min(MAX_REQUIRED_HEALTHY_MS, byLeavesMs));
    }

    /** Between two steps of a recovery, in milliseconds. */
    static double stepMs(boolean cold, double warmUpMs) {
        return cold ? Math.max(STEP_MS, warmUpMs / ZoneState.ALL_PARTS) : STEP_MS;
    }

    /** The parts that come back by a step. */
    static int stepParts(boolean cold) {
        return cold ? 1 : WARM_STEP_PARTS;
    }
}

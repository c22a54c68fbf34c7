package cacheproxy.failover;

/**
 * The pace and size of the steps by which a zone is opened or drained. Nodes that stayed warm get their keys back in
 * three steps. At cold nodes each key misses once, so their keys come back part by part over the nodes' warm-up time.
 * Times in milliseconds.
 */
final class RecoveryRamp {
    /**
     * The time between two steps for warm nodes: a decision takes about 0.3 s to reach all instances, and its effect
     * has to be observed.
     */
    static final double STEP_MS = 600;
    /** The parts of the keys that a step returns to warm nodes. */
    private static final int WARM_STEP_PARTS = ZoneState.ALL_PARTS / 3;
    /** The parts of the keys that a step moves away from a degraded zone. */
    static final int DRAIN_STEP_PARTS = ZoneState.ALL_PARTS / 3;
    /** How long a zone has to be degraded before a drain step. */
    static final double DEGRADED_BEFORE_DRAIN_MS = 1500;
    /** How long a zone has to be healthy before it is opened, after one recent leave. */
    private static final double BASE_REQUIRED_HEALTHY_MS = 400;
    /** The factor by which each further leave extends that time. */
    private static final double REQUIRED_HEALTHY_FACTOR = 50;
    /**
     * The minimum of that time for a zone that was left as degraded: such a zone responds from time to time in any
     * case.
     */
    private static final double MIN_HEALTHY_AFTER_DEGRADED_MS = 6000;
    /** The maximum of that time. */
    static final double MAX_REQUIRED_HEALTHY_MS = 60_000;
    /** After a zone has been open for this long, its leave count is reduced by one. */
    static final double LEAVE_COUNT_DECAY_MS = 120_000;

    /**
     * A step waits while the origin is saturated, but for no longer than this many step times, so a recovery takes at
     * most this many times the warm-up of the zone's nodes. The wait is bounded because a closed zone itself keeps the
     * origin busy: its keys miss at the other zones' nodes.
     */
    static final double MAX_SATURATED_STEPS = 1.5;

    private RecoveryRamp() {}

    /**
     * How long a zone has to be healthy before it is opened, in milliseconds.
     *
     * @param leaveCount how many recent leaves are counted
     * @param leftDegraded whether it was left while it still responded
     */
    static double requiredHealthyMs(int leaveCount, boolean leftDegraded) {
        double byLeavesMs = BASE_REQUIRED_HEALTHY_MS * Math.pow(REQUIRED_HEALTHY_FACTOR, Math.max(0, leaveCount - 1));
        return Math.max(
                leftDegraded ? MIN_HEALTHY_AFTER_DEGRADED_MS : 0, Math.min(MAX_REQUIRED_HEALTHY_MS, byLeavesMs));
    }

    /** The time between two steps of a recovery, in milliseconds. */
    static double stepMs(boolean cold, double warmUpMs) {
        return cold ? Math.max(STEP_MS, warmUpMs / ZoneState.ALL_PARTS) : STEP_MS;
    }

    /** The parts that a step returns. */
    static int stepParts(boolean cold) {
        return cold ? 1 : WARM_STEP_PARTS;
    }
}

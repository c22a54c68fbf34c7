package cacheproxy.failover;

/**
 * How soon a zone's next step may come. Nodes that stayed warm get their keys back in three steps; the keys of cold
 * ones miss once each, so these come back part by part over the time in which the nodes warm up. Times in milliseconds.
 */
final class RecoveryRamp {
    /** Between two steps of warm nodes: news takes some 0.3 s to all, and what a step did has to be seen. */
    static final double STEP_MS = 600;
    /** Parts of the keys that come back at a step where the nodes are warm. */
    private static final int WARM_PARTS = ZoneState.ALL_PARTS / 3;
    /** Parts by which a zone that is poor but answers is left at a step. */
    static final int DRAIN_STEP_PARTS = ZoneState.ALL_PARTS / 3;
    /** How long a zone has to be poor before it is left by a step. */
    static final double DEGRADED_BEFORE_DRAIN_MS = 1500;
    /** How long it has to be sound before the first return; each leave lately multiplies it. */
    private static final double BASE_REQUIRED_HEALTHY_MS = 400;

    private static final double REQUIRED_HEALTHY_FACTOR = 50;
    /** A zone that was poor answers now and then anyway. */
    private static final double MIN_HEALTHY_AFTER_DEGRADED_MS = 6000;
    /** The longest that it has to be sound. */
    static final double MAX_REQUIRED_HEALTHY_MS = 60_000;
    /** A zone that was open so long has one leave fewer against it. */
    static final double LEAVE_COUNT_DECAY_MS = 120_000;

    /**
     * A step waits for room at the origin, and for so many steps' time at most: with it a return takes at most so many
     * times what the ramps of its nodes take, which is what may be asked of it. A closed zone keeps the origin busy
     * itself.
     */
    static final double MAX_SATURATED_STEPS = 1.5;

    private RecoveryRamp() {}

    /** How long a zone must have been sound before it is opened again, by how often it was left lately and for what. */
    static double requiredHealthyMs(int leaves, boolean wasPoor) {
        return Math.max(
                wasPoor ? MIN_HEALTHY_AFTER_DEGRADED_MS : 0,
                Math.min(
                        MAX_REQUIRED_HEALTHY_MS,
                        BASE_REQUIRED_HEALTHY_MS * Math.pow(REQUIRED_HEALTHY_FACTOR, Math.max(0, leaves - 1))));
    }

    /** Between two steps of a return. */
    static double stepMs(boolean cold, double warmUpMs) {
        return cold ? Math.max(STEP_MS, warmUpMs / ZoneState.ALL_PARTS) : STEP_MS;
    }

    /** How many parts come back at a step. */
    static int stepParts(boolean cold) {
        return cold ? 1 : WARM_PARTS;
    }
}

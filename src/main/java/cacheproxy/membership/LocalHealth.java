package cacheproxy.membership;

/**
 * This instance's own health: Lifeguard's local health multiplier (section IV.A there), based on other signals. An
 * answer that arrives after its probe has failed, a suspicion of this instance and a stall lower the health; an answer
 * in time raises it. An unhealthy instance probes less often and waits longer before it suspects others. Helpers that
 * do not answer are no signal: in a partition, most of them are on the other side.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 7;
    /** The amount by which a stall of this process raises the score. */
    private static final int STALL_SCORE = 3;

    /** The fraction of probes of live members that may fail due to message loss. */
    private static final double MAX_FALSE_FAILURE_RATIO = 0.03;

    private static final double PINGS_PER_PROBE = 3;
    private static final double MAX_LOSS_FACTOR = 5;
    private static final double LOSS_SMOOTHING = 0.05;

    private int score;
    /** The fraction of pings without an answer in probes that were eventually answered, 0 to 1. */
    private double lossRatio;

    /** Returns the factor for rounds and timeouts that follows from the score: 1 to 8. */
    double intervalFactor() {
        return 1 + score;
    }

    /**
     * Returns the factor for probes and suspicions that follows from message loss: large enough that all pings of a
     * probe are lost in at most {@link #MAX_FALSE_FAILURE_RATIO} of probes. 1 to {@link #MAX_LOSS_FACTOR}.
     */
    double lossFactor() {
        return lossRatio <= 0
                ? 1
                : Math.max(
                        1,
                        Math.min(
                                MAX_LOSS_FACTOR,
                                Math.log(MAX_FALSE_FAILURE_RATIO)
                                        / Math.log(Math.min(0.95, lossRatio))
                                        / PINGS_PER_PROBE));
    }

    /** A probe was answered after this number of pings. */
    void probeAnswered(int pings) {
        score = Math.max(0, score - 1);
        for (int i = 0; i < pings; i++) {
            lossRatio += LOSS_SMOOTHING * ((i < pings - 1 ? 1 : 0) - lossRatio);
        }
    }

    /** An answer arrived after its probe had failed. */
    void answeredLate() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** This instance was suspected and has refuted it. */
    void suspected() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** This process has stalled. */
    void stalled() {
        score = Math.min(MAX_SCORE, score + STALL_SCORE);
    }
}

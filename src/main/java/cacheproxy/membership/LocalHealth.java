package cacheproxy.membership;

/**
 * This instance's own health: Lifeguard's local health multiplier (section IV.A there), by other signs. An answer that
 * comes after its probe has failed, a suspicion of this instance and a stall lower it; an answer in time raises it. An
 * unhealthy instance probes less often and waits longer before it suspects others. Silent helpers are no sign: at a
 * partition most of them stand beyond it.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 7;
    /** What a stall of this process adds to the score. */
    private static final int STALL_SCORE = 3;

    /** The part of probes of live members that may fail, as messages get lost. */
    private static final double MAX_FALSE_FAILURE_RATIO = 0.03;

    private static final double PINGS_PER_PROBE = 3;
    private static final double MAX_LOSS_FACTOR = 5;
    private static final double LOSS_SMOOTHING = 0.05;

    private int score;
    /** The part of pings without an answer, of probes that were answered in the end; 0 to 1. */
    private double lossRatio;

    /** The factor of rounds and timeouts by the score: 1 to 8. */
    double intervalFactor() {
        return 1 + score;
    }

    /**
     * The factor of probes and suspicions by the loss of messages: so long that all pings of a probe get lost in no
     * more than {@link #MAX_FALSE_FAILURE_RATIO} of them. 1 to {@link #MAX_LOSS_FACTOR}.
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

    /** A probe was answered after so many pings. */
    void probeAnswered(int pings) {
        score = Math.max(0, score - 1);
        for (int i = 0; i < pings; i++) {
            lossRatio += LOSS_SMOOTHING * ((i < pings - 1 ? 1 : 0) - lossRatio);
        }
    }

    /** An answer came after its probe had failed. */
    void answeredLate() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** This instance was suspected, and has refuted it. */
    void suspected() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** This process has stalled. */
    void stalled() {
        score = Math.min(MAX_SCORE, score + STALL_SCORE);
    }
}

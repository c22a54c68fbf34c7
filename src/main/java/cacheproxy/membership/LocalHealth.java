package cacheproxy.membership;

/**
 * How well this instance itself is doing: Lifeguard's local health multiplier (section IV.A there), by other signs. An
 * answer that comes when its probe has failed already, a suspicion of itself, and a stand-still speak against it; one
 * that comes in time speaks for it. An unwell instance asks less often and waits longer before it speaks ill of others.
 * That helpers say nothing is no sign here: at a cut most of them stand on its other side.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 7;
    /** What a stand-still of its own counts. */
    private static final int STALL_SCORE = 3;

    /** What one probe may miss of those that live. */
    private static final double MAX_FALSE_FAILURES = 0.03;

    private static final double PINGS_PER_PROBE = 3;
    private static final double MAX_LOSS_FACTOR = 5;
    private static final double LOSS_SMOOTHING = 0.05;

    private int score;
    /** The part of pings that remain without an answer, of probes that had one in the end. */
    private double lossRatio;

    /** By how much rounds and waits are longer: 1 to 8. */
    double intervalFactor() {
        return 1 + score;
    }

    /**
     * By how much probes and suspicions last longer as messages get lost: so that as few pings as are sent then all get
     * lost in one probe of {@link #MAX_FALSE_FAILURES}. 1 to {@link #MAX_LOSS_FACTOR}.
     */
    double lossFactor() {
        return lossRatio <= 0
                ? 1
                : Math.max(
                        1,
                        Math.min(
                                MAX_LOSS_FACTOR,
                                Math.log(MAX_FALSE_FAILURES) / Math.log(Math.min(0.95, lossRatio)) / PINGS_PER_PROBE));
    }

    /** A probe was answered at its so-manieth ping. */
    void probeAnswered(int pings) {
        score = Math.max(0, score - 1);
        for (int i = 0; i < pings; i++) {
            lossRatio += LOSS_SMOOTHING * ((i < pings - 1 ? 1 : 0) - lossRatio);
        }
    }

    /** An answer came too late. */
    void answeredLate() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    void suspected() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    void stalled() {
        score = Math.min(MAX_SCORE, score + STALL_SCORE);
    }
}

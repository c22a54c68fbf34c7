package cacheproxy.membership;

/**
 * How well this instance itself is doing: Lifeguard's local health multiplier (section IV.A there), by other signs. An
 * answer that comes when its probe has failed already, a suspicion of itself, and a stand-still speak against it; one
 * that comes in time speaks for it. An unwell instance asks less often and waits longer before it speaks ill of others.
 * That helpers say nothing is no sign here: at a cut most of them stand on its other side.
 */
final class LocalHealth {
    private static final int MOST = 7;
    /** What a stand-still of its own counts. */
    private static final int STOOD_STILL = 3;

    /** What one probe may miss of those that live. */
    private static final double MISSED = 0.03;

    private static final double PINGS = 3;
    private static final double MOST_LONGER = 5;
    private static final double NEW = 0.05;

    private int score;
    /** The part of pings that remain without an answer, of probes that had one in the end. */
    private double lost;

    /** By how much rounds and waits are longer: 1 to 8. */
    double slower() {
        return 1 + score;
    }

    /**
     * By how much probes and suspicions last longer as messages get lost: so that as few pings as are sent then all get
     * lost in one probe of {@link #MISSED}. 1 to {@link #MOST_LONGER}.
     */
    double longer() {
        return lost <= 0
                ? 1
                : Math.max(1, Math.min(MOST_LONGER, Math.log(MISSED) / Math.log(Math.min(0.95, lost)) / PINGS));
    }

    /** A probe was answered at its so-manieth ping. */
    void answered(int pings) {
        score = Math.max(0, score - 1);
        for (int i = 0; i < pings; i++) {
            lost += NEW * ((i < pings - 1 ? 1 : 0) - lost);
        }
    }

    /** An answer came too late. */
    void late() {
        score = Math.min(MOST, score + 1);
    }

    void suspected() {
        score = Math.min(MOST, score + 1);
    }

    void stoodStill() {
        score = Math.min(MOST, score + STOOD_STILL);
    }
}

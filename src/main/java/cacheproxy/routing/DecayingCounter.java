package cacheproxy.routing;

/**
 * A count that loses half of its value in each half-life, so that it weighs what was counted lately. The owner says
 * when it decays, as results depend in their last digits on the moments at which they are taken.
 */
final class DecayingCounter {
    private double value;
    private double decayedAtMs;

    /** The part of a count, 0 to 1, that is left after this time, in milliseconds. */
    static double decayFactor(double elapsedMs, double halfLifeMs) {
        return Math.pow(0.5, elapsedMs / halfLifeMs);
    }

    /** Brings the count to this time, in milliseconds. */
    void decay(double nowMs, double halfLifeMs) {
        value *= decayFactor(nowMs - decayedAtMs, halfLifeMs);
        decayedAtMs = nowMs;
    }

    void increment() {
        value++;
    }

    /** Takes one back, down to zero. */
    void decrement() {
        value = Math.max(0, value - 1);
    }

    void raiseTo(double minimum) {
        value = Math.max(minimum, value);
    }

    /** Goes on from a count that was taken elsewhere. */
    void restore(double nowMs, double count) {
        value = count;
        decayedAtMs = nowMs;
    }

    /** The count as of the last decay. */
    double value() {
        return value;
    }
}

package cacheproxy.routing;

/**
 * A count with exponential decay, which gives recent events more weight. The owner calls {@link #decay} explicitly,
 * because the last digits of a result depend on when decay is applied, and results must be reproducible.
 */
final class DecayingCounter {
    private double value;
    private double decayedAtMs;

    /** The fraction of a count, 0 to 1, that remains after this time, in milliseconds. */
    static double decayFactor(double elapsedMs, double halfLifeMs) {
        return Math.pow(0.5, elapsedMs / halfLifeMs);
    }

    /** Applies the decay up to this time, in milliseconds. */
    void decay(double nowMs, double halfLifeMs) {
        value *= decayFactor(nowMs - decayedAtMs, halfLifeMs);
        decayedAtMs = nowMs;
    }

    void increment() {
        value++;
    }

    /** Subtracts one, but not below zero. */
    void decrement() {
        value = Math.max(0, value - 1);
    }

    void raiseTo(double minimum) {
        value = Math.max(minimum, value);
    }

    /** Restores a count that was captured elsewhere. */
    void restore(double nowMs, double count) {
        value = count;
        decayedAtMs = nowMs;
    }

    /** The count as of the last decay. */
    double value() {
        return value;
    }
}

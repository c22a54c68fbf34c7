package cacheproxy.quota;

/** The recent rate of demand: an exponentially decaying sum. Times in milliseconds. */
final class DemandRate {
    /** The time constant of the decay. */
    static final double DECAY_MS = 500;

    private double recent;
    private double updatedMs;

    void add(double nowMs, long amount) {
        recent = recent * remainingFraction(nowMs - updatedMs) + amount;
        updatedMs = Math.max(updatedMs, nowMs);
    }

    /** The rate in units per millisecond. */
    double perMs(double nowMs) {
        return recent * remainingFraction(nowMs - updatedMs) / DECAY_MS;
    }

    private static double remainingFraction(double elapsedMs) {
        return StrictMath.exp(-Math.max(0, elapsedMs) / DECAY_MS);
    }
}

package cacheproxy.model;

/** How a node that has just started comes to its full capacity; the settings tell its beginning and its end. */
public enum ColdRamp {
    /** In a straight line. */
    STEADY {
        @Override
        double share(double age, double start, double warmUpMs) {
            return start + (1 - start) * age / warmUpMs;
        }
    },
    /** It stays as it was at the start for most of the time, and then rises in a straight line. */
    LATE {
        @Override
        double share(double age, double start, double warmUpMs) {
            double from = STAYS * warmUpMs;
            return age < from ? start : start + (1 - start) * (age - from) / (warmUpMs - from);
        }
    };

    /** The part of the warm-up for which a late one stays at its start. */
    private static final double STAYS = 0.8;

    /** The part of its capacity that a node has at that age, of 0 to {@code warmUpMs}. */
    abstract double share(double age, double start, double warmUpMs);
}

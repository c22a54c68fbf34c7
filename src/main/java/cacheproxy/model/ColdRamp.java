package cacheproxy.model;

/** How the capacity of a node that has just started rises to its full value; the settings give its start and end. */
public enum ColdRamp {
    /** Rises linearly over the warm-up. */
    STEADY {
        @Override
        double share(double age, double start, double warmUpMs) {
            return start + (1 - start) * age / warmUpMs;
        }
    },
    /** Stays at the starting value for most of the warm-up, then rises linearly. */
    LATE {
        @Override
        double share(double age, double start, double warmUpMs) {
            double from = FLAT_SHARE * warmUpMs;
            return age < from ? start : start + (1 - start) * (age - from) / (warmUpMs - from);
        }
    };

    /** The share of the warm-up for which {@link #LATE} stays at the starting value. */
    private static final double FLAT_SHARE = 0.8;

    /** The share of its full capacity that a node has at an age from 0 to {@code warmUpMs}. */
    abstract double share(double age, double start, double warmUpMs);
}

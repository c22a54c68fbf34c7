package cacheproxy.load;

/**
 * How a rate goes over a run: a factor on the rate asked for, by the time since the start and the run's length, both in
 * seconds. Each has a mean of 1 over the whole run, so that shapes of one rate send as much.
 */
public enum Shape {
    /** The same all along. */
    STEADY {
        @Override
        double raw(double x) {
            return 1;
        }
    },
    /** A release evening: quiet, a steep climb to four times that, a slow fall. */
    SURGE {
        @Override
        double raw(double x) {
            return x < 0.25 ? 0.5 : x < 0.35 ? 0.5 + (x - 0.25) * 15 : x < 0.55 ? 2 : 2 - (x - 0.55) / 0.45 * 1.5;
        }
    },
    /** Three days and nights. */
    WAVE {
        @Override
        double raw(double x) {
            return 1 + 0.5 * Math.sin(2 * Math.PI * 3 * x);
        }
    };

    private static final int STEPS = 2000;
    private final double mean = meanOfSteps();

    abstract double raw(double x);

    /** The factor at this part of the run, 0 to 1. */
    public double at(double part) {
        return raw(Math.min(1, Math.max(0, part))) / mean;
    }

    private double meanOfSteps() {
        double sum = 0;
        for (int i = 0; i < STEPS; i++) {
            sum += raw((i + 0.5) / STEPS);
        }
        return sum / STEPS;
    }
}

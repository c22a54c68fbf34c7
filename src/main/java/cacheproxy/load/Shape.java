package cacheproxy.load;

/**
 * How the request rate varies over a run: a factor on the configured rate by the elapsed fraction of the run. Each has
 * a mean of 1 over the whole run, so that all shapes send the same number of requests at one rate.
 */
public enum Shape {
    /** Constant rate. */
    STEADY {
        @Override
        double raw(double x) {
            return 1;
        }
    },
    /** The evening of a release: low, then a steep rise to four times that, then a slow fall. */
    SURGE {
        @Override
        double raw(double x) {
            return x < 0.25 ? 0.5 : x < 0.35 ? 0.5 + (x - 0.25) * 15 : x < 0.55 ? 2 : 2 - (x - 0.55) / 0.45 * 1.5;
        }
    },
    /** Sine wave of three periods, as of three days. */
    WAVE {
        @Override
        double raw(double x) {
            return 1 + 0.5 * Math.sin(2 * Math.PI * 3 * x);
        }
    };

    private static final int STEPS = 2000;
    private final double mean = meanOfSteps();

    abstract double raw(double x);

    /** The factor at this fraction of the run, 0 to 1. */
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

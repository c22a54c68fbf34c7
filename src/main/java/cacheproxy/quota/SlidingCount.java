package cacheproxy.quota;

import java.util.Arrays;

/**
 * How much was counted in the last window, never too little: it slides in {@value #PARTS} steps, and the step that lies
 * in it only in part counts whole. So who keeps this under a limit keeps every window of that length under it, wherever
 * it begins; the price is that a steady rate may come to 1 / {@value #PARTS} less than the limit. Time only goes
 * forward.
 */
final class SlidingCount {
    static final int STEPS = 100;

    private final long[] steps = new long[STEPS + 1];
    private final double stepMs;
    private long current = Long.MIN_VALUE;
    private long sum;

    SlidingCount(long windowMs) {
        stepMs = (double) windowMs / STEPS;
    }

    private long stepAt(double now) {
        return (long) Math.floor(now / stepMs);
    }

    private int index(long part) {
        return (int) Math.floorMod(part, (long) steps.length);
    }

    private void advance(double now) {
        long to = stepAt(now);
        if (to <= current) {
            return; // a clock that has stepped back: what it counts now counts as of then
        }
        if (current == Long.MIN_VALUE || to - current > STEPS) {
            Arrays.fill(steps, 0);
            sum = 0;
        } else {
            int at = index(current);
            for (long p = current; p < to && sum != 0; p++) { // where nothing is left, all parts are 0
                at = at == STEPS ? 0 : at + 1;
                sum -= steps[at];
                steps[at] = 0;
            }
        }
        current = to;
    }

    /** For how long something counts at most: the window, and the step in which it was counted. */
    double lengthMs() {
        return (STEPS + 1) * stepMs;
    }

    /** What was counted in the window that ends now. */
    long sum(double now) {
        advance(now);
        return sum;
    }

    void add(double now, long much) {
        advance(now);
        steps[index(current)] += much;
        sum += much;
    }

    /** Takes back what was counted at that time; nothing where the window has left it behind. */
    void subtract(double now, double at, long much) {
        advance(now);
        long p = Math.min(stepAt(at), current);
        if (current - p <= STEPS) {
            int i = index(p);
            long left = Math.min(steps[i], much);
            steps[i] -= left;
            sum -= left;
        }
    }

    /** How long until so much more is under the limit, if nothing else is counted; the whole window if it never is. */
    double timeUntilCapacityMs(double now, long much, long limit) {
        advance(now);
        long left = sum;
        if (left + much <= limit) {
            return 0;
        }
        for (long p = current - STEPS; p <= current; p++) {
            left -= steps[index(p)];
            if (left + much <= limit) {
                return (p + STEPS + 1) * stepMs - now;
            }
        }
        return STEPS * stepMs;
    }
}

package cacheproxy.quota;

import java.util.Arrays;

/**
 * An upper bound of what was counted in the last window. The window slides in {@value #STEPS} steps, and the step that
 * lies in it only in part counts whole: keeping this sum under a limit keeps every window of that length under it,
 * wherever the window begins. In return, a steady rate may stay up to 1 / {@value #STEPS} below the limit. Times in
 * milliseconds; a time before the latest one counts as that.
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

    private long stepAt(double timeMs) {
        return (long) Math.floor(timeMs / stepMs);
    }

    private int index(long step) {
        return (int) Math.floorMod(step, (long) steps.length);
    }

    private void advance(double nowMs) {
        long next = stepAt(nowMs);
        if (next <= current) {
            return; // the clock may have stepped back
        }
        if (current == Long.MIN_VALUE || next - current > STEPS) {
            Arrays.fill(steps, 0);
            sum = 0;
        } else {
            int index = index(current);
            for (long step = current; step < next && sum != 0; step++) { // with a sum of 0 all steps are 0
                index = index == STEPS ? 0 : index + 1;
                sum -= steps[index];
                steps[index] = 0;
            }
        }
        current = next;
    }

    /** How long an amount counts at most: the window, and the step in which it was counted. */
    double lengthMs() {
        return (STEPS + 1) * stepMs;
    }

    /** What was counted in the window that ends now. */
    long sum(double nowMs) {
        advance(nowMs);
        return sum;
    }

    void add(double nowMs, long amount) {
        advance(nowMs);
        steps[index(current)] += amount;
        sum += amount;
    }

    /** Subtracts what was counted at an earlier time; nothing if that has left the window. */
    void subtract(double nowMs, double countedMs, long amount) {
        advance(nowMs);
        long step = Math.min(stepAt(countedMs), current);
        if (current - step <= STEPS) {
            int index = index(step);
            long subtracted = Math.min(steps[index], amount);
            steps[index] -= subtracted;
            sum -= subtracted;
        }
    }

    /** How long until an amount more is within the limit if nothing else is counted; the window if it never is. */
    double timeUntilCapacityMs(double nowMs, long amount, long limit) {
        advance(nowMs);
        long remaining = sum;
        if (remaining + amount <= limit) {
            return 0;
        }
        for (long step = current - STEPS; step <= current; step++) {
            remaining -= steps[index(step)];
            if (remaining + amount <= limit) {
                return (step + STEPS + 1) * stepMs - nowMs;
            }
        }
        return STEPS * stepMs;
    }
}

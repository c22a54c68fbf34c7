package cacheproxy.quota;

import java.util.Arrays;

/**
 * How much was counted in the last window, never too little: it slides in {@value #PARTS} steps, and the step that lies
 * in it only in part counts whole. So who keeps this under a limit keeps every window of that length under it, wherever
 * it begins; the price is that a steady rate may come to 1 / {@value #PARTS} less than the limit. Time only goes
 * forward.
 */
final class SlidingCount {
    static final int PARTS = 100;

    private final long[] parts = new long[PARTS + 1];
    private final double partMs;
    private long current = Long.MIN_VALUE;
    private long sum;

    SlidingCount(long windowMs) {
        partMs = (double) windowMs / PARTS;
    }

    private long part(double now) {
        return (long) Math.floor(now / partMs);
    }

    private int index(long part) {
        return (int) Math.floorMod(part, (long) parts.length);
    }

    private void advance(double now) {
        long to = part(now);
        if (to <= current) {
            return; // a clock that has stepped back: what it counts now counts as of then
        }
        if (current == Long.MIN_VALUE || to - current > PARTS) {
            Arrays.fill(parts, 0);
            sum = 0;
        } else {
            int at = index(current);
            for (long p = current; p < to && sum != 0; p++) { // where nothing is left, all parts are 0
                at = at == PARTS ? 0 : at + 1;
                sum -= parts[at];
                parts[at] = 0;
            }
        }
        current = to;
    }

    /** For how long something counts at most: the window, and the step in which it was counted. */
    double lengthMs() {
        return (PARTS + 1) * partMs;
    }

    /** What was counted in the window that ends now. */
    long sum(double now) {
        advance(now);
        return sum;
    }

    void add(double now, long much) {
        advance(now);
        parts[index(current)] += much;
        sum += much;
    }

    /** Takes back what was counted at that time; nothing where the window has left it behind. */
    void takeBack(double now, double at, long much) {
        advance(now);
        long p = Math.min(part(at), current);
        if (current - p <= PARTS) {
            int i = index(p);
            long left = Math.min(parts[i], much);
            parts[i] -= left;
            sum -= left;
        }
    }

    /** How long until so much more is under the limit, if nothing else is counted; the whole window if it never is. */
    double roomInMs(double now, long much, long limit) {
        advance(now);
        long left = sum;
        if (left + much <= limit) {
            return 0;
        }
        for (long p = current - PARTS; p <= current; p++) {
            left -= parts[index(p)];
            if (left + much <= limit) {
                return (p + PARTS + 1) * partMs - now;
            }
        }
        return PARTS * partMs;
    }
}

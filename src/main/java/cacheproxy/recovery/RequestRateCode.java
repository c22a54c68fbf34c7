package cacheproxy.recovery;

/**
 * The code by which instances share their load: requests a second as one byte, on a geometric scale with steps of a
 * quarter, from 0 to some 10^24. Coarse on purpose: it changes seldom, and each change is gossiped to the whole fleet.
 */
public final class RequestRateCode {
    private static final double STEP_FACTOR = 1.25;
    /** The rate of code 1, requests a second; lower ones are code 0. */
    private static final double LOWEST_RATE = 0.5;

    private static final int MAX_CODE = 255;
    /** A difference beyond this part of the shared rate, and {@link #LOWEST_RATE}, is worth sharing. */
    private static final double MIN_RELATIVE_CHANGE = 0.3;

    private RequestRateCode() {}

    /** The code of a rate in requests a second; 0 for less than one in two seconds, and for NaN. */
    public static byte encode(double perSecond) {
        if (!(perSecond >= LOWEST_RATE)) {
            return 0;
        }
        double steps = Math.log(perSecond / LOWEST_RATE) / Math.log(STEP_FACTOR);
        return (byte) Math.min(MAX_CODE, 1 + Math.round(steps));
    }

    /** The rate that a code stands for, in requests a second. */
    public static double decode(byte code) {
        return code == 0 ? 0 : LOWEST_RATE * Math.pow(STEP_FACTOR, (code & 0xff) - 1);
    }

    /** Whether a rate is so far from the one that was shared that it is worth sharing anew. */
    public static boolean differs(byte shared, double perSecond) {
        double sharedRate = decode(shared);
        return Math.abs(perSecond - sharedRate) > MIN_RELATIVE_CHANGE * sharedRate + LOWEST_RATE;
    }
}

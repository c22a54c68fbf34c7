package cacheproxy.recovery;

/**
 * The one-byte code by which instances share their load in requests per second: a geometric scale with steps of a
 * quarter, from 0 to some 10^24. It is coarse on purpose: it rarely changes, and each change is gossiped to the whole
 * fleet.
 */
public final class RequestRateCode {
    private static final double STEP_FACTOR = 1.25;
    /** The rate of code 1, in requests per second; lower rates have code 0. */
    private static final double LOWEST_RATE = 0.5;

    private static final int MAX_CODE = 255;
    /** A change is worth sharing if it exceeds this part of the shared rate plus {@link #LOWEST_RATE}. */
    private static final double MIN_RELATIVE_CHANGE = 0.3;

    private RequestRateCode() {}

    /** The code of a rate in requests per second; 0 for less than one request in two seconds, and for NaN. */
    public static byte encode(double perSecond) {
        if (!(perSecond >= LOWEST_RATE)) {
            return 0;
        }
        double steps = Math.log(perSecond / LOWEST_RATE) / Math.log(STEP_FACTOR);
        return (byte) Math.min(MAX_CODE, 1 + Math.round(steps));
    }

    /** The rate of a code, in requests per second. */
    public static double decode(byte code) {
        return code == 0 ? 0 : LOWEST_RATE * Math.pow(STEP_FACTOR, (code & 0xff) - 1);
    }

    /** Whether a rate differs enough from the shared one to be shared again. */
    public static boolean differs(byte shared, double perSecond) {
        double sharedRate = decode(shared);
        return Math.abs(perSecond - sharedRate) > MIN_RELATIVE_CHANGE * sharedRate + LOWEST_RATE;
    }
}

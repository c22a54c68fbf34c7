package cacheproxy.recovery;

/**
 * What an instance is asked, as a byte that others can be told: its requests a second on a scale of steps of a quarter,
 * from 0 to some 10^27. Rough on purpose: it changes seldom, and each change is news to the whole fleet.
 */
public final class RequestRateCode {
    private static final double STEP_FACTOR = 1.25;

    private RequestRateCode() {}

    /** The byte for so many requests a second; 0 for less than one in two seconds. */
    public static byte encode(double perSecond) {
        if (!(perSecond >= 0.5)) {
            return 0;
        }
        return (byte) Math.min(255, 1 + Math.round(Math.log(perSecond / 0.5) / Math.log(STEP_FACTOR)));
    }

    /** The requests a second that a byte stands for. */
    public static double decode(byte code) {
        return code == 0 ? 0 : 0.5 * Math.pow(STEP_FACTOR, (code & 0xff) - 1);
    }

    /** Whether a rate has left what the byte stands for by more than half a step, so that it is worth telling. */
    public static boolean differs(byte told, double perSecond) {
        double was = decode(told);
        return Math.abs(perSecond - was) > 0.3 * was + 0.5;
    }
}

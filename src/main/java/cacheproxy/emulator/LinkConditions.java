package cacheproxy.emulator;

/**
 * What the way from one part of a fleet to another does to what is sent. Shares from 0 to 1, times in milliseconds.
 *
 * @param cut nothing arrives
 * @param delayMs what everything takes, 0 to 60,000
 * @param jitterMs what it takes at most beyond that, drawn evenly; a stream keeps its order all the same
 * @param lose of datagrams that do not arrive; a piece of a stream comes later instead, by what a resend takes
 * @param twice of datagrams that arrive twice
 * @param reorder of datagrams that are overtaken by those behind them
 * @param hold of pieces of a stream that stand still half way, with all that follows
 * @param reset of pieces of a stream in whose place the connection is reset
 */
public record LinkConditions(
        boolean cut,
        double delayMs,
        double jitterMs,
        double lose,
        double twice,
        double reorder,
        double hold,
        double reset) {
    /** All arrives at once. */
    public static final LinkConditions OPEN = new LinkConditions(false, 0, 0, 0, 0, 0, 0, 0);
    /** Nothing arrives. */
    public static final LinkConditions CUT = new LinkConditions(true, 0, 0, 0, 0, 0, 0, 0);

    /** Checks the ranges. */
    public LinkConditions {
        for (double share : new double[] {lose, twice, reorder, hold, reset}) {
            if (!(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("a share of " + share + "; it takes 0 to 1");
            }
        }
        if (!(delayMs >= 0 && delayMs <= 60_000 && jitterMs >= 0 && jitterMs <= 60_000)) {
            throw new IllegalArgumentException(
                    "a delay of " + delayMs + " and " + jitterMs + " ms; it takes 0 to 60,000");
        }
    }

    /** Whether all that is sent arrives. */
    boolean sound() {
        return !cut && lose == 0 && hold == 0 && reset == 0;
    }

    /** Only slower. */
    public static LinkConditions slow(double delayMs) {
        return delayMs == 0 ? OPEN : new LinkConditions(false, delayMs, 0, 0, 0, 0, 0, 0);
    }

    /** This way with another's troubles on top. */
    public LinkConditions and(LinkConditions b) {
        return new LinkConditions(
                cut || b.cut,
                Math.min(60_000, delayMs + b.delayMs),
                Math.min(60_000, jitterMs + b.jitterMs),
                either(lose, b.lose),
                either(twice, b.twice),
                either(reorder, b.reorder),
                either(hold, b.hold),
                either(reset, b.reset));
    }

    private static double either(double a, double b) {
        return 1 - (1 - a) * (1 - b);
    }
}

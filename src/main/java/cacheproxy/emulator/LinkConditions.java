package cacheproxy.emulator;

/**
 * The conditions of the link from one component of a fleet to another. Shares from 0 to 1, times in milliseconds.
 *
 * @param cut the link is partitioned: nothing arrives
 * @param delayMs fixed delay, 0 to 60,000
 * @param jitterMs maximum additional delay, uniformly distributed, 0 to 60,000; streams are not reordered by it
 * @param lose share of datagrams that are lost; a stream segment is delayed by retransmissions instead
 * @param twice share of datagrams that are duplicated
 * @param reorder share of datagrams that are overtaken by later ones
 * @param hold share of stream segments that stall half way, with all that follows, until the conditions change
 * @param reset share of stream segments that are replaced by a connection reset
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
    /** A healthy link without delay. */
    public static final LinkConditions OPEN = new LinkConditions(false, 0, 0, 0, 0, 0, 0, 0);
    /** A partitioned link. */
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

    /** Whether everything that is sent arrives, though perhaps late. */
    boolean sound() {
        return !cut && lose == 0 && hold == 0 && reset == 0;
    }

    /** A link with a fixed delay only. */
    public static LinkConditions slow(double delayMs) {
        return delayMs == 0 ? OPEN : new LinkConditions(false, delayMs, 0, 0, 0, 0, 0, 0);
    }

    /** Combines two sets of conditions: delays add up, shares combine as independent probabilities. */
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

package cacheproxy.flow;

/**
 * Limits the size of one connection's next read, so that handling its input costs little more than a turn of the event
 * loop: the size follows what the input of earlier reads cost. A connection that is read out of its turn, as the loop
 * has found input of many at once, gets the smallest size. Pure.
 */
public final class ReadSizeLimit {
    /** The size of the largest read, in bytes. */
    public static final int MAX_BYTES = 64 << 10;
    /** The size of a read while nothing is known of its cost, in bytes. */
    public static final int FIRST_BYTES = 2 << 10;
    /** The least that a read in turn may bring, in bytes. */
    public static final int MIN_BYTES = 1 << 10;
    /** The size of a read out of turn, in bytes: a short response. */
    static final int OUT_OF_TURN_BYTES = 256;
    /** What handling the input of one read should cost at most, in microseconds. */
    static final int MAX_COST = 1000;

    /** The limit grows after a read that cost less than this part of {@link #MAX_COST}, as a divisor. */
    private static final int SMALL_COST_DIVISOR = 4;

    private int limitBytes = FIRST_BYTES;

    /** Records that handling the input of a read cost this many microseconds. */
    public void recordCost(int bytes, int cost) {
        if (cost > MAX_COST) {
            long affordableBytes = (long) bytes * MAX_COST / cost;
            limitBytes = (int) Math.max(MIN_BYTES, Math.min(limitBytes, affordableBytes));
        } else if (cost < MAX_COST / SMALL_COST_DIVISOR && bytes >= limitBytes / 2) {
            limitBytes = Math.min(MAX_BYTES, 2 * limitBytes);
        }
    }

    /** The most bytes that the next read may take; {@code inTurn}: whether the connection may work now. */
    public int nextBytes(boolean inTurn) {
        return inTurn ? limitBytes : OUT_OF_TURN_BYTES;
    }
}

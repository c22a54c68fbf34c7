package cacheproxy.flow;

/**
 * Limits the bytes that are read from clients before the proxy can process them. Reading ahead shows when bytes arrived
 * and that a client has closed its connection behind them; what is read takes memory. Each connection may read ahead
 * {@link #OWN_BYTES_PER_CONNECTION}, and more out of a budget that all connections share.
 */
public final class ReadAheadBudget {
    /** What each connection may read ahead beside the shared budget, in bytes. */
    public static final int OWN_BYTES_PER_CONNECTION = 32 << 10;
    /** The most that one connection may read ahead, in bytes: thousands of commands. */
    public static final int MAX_BYTES_PER_CONNECTION = 512 << 10;

    private final long sharedBytes;
    private long totalReservedBytes;

    /**
     * Creates the budget.
     *
     * @param sharedBytes what all connections share; 0 or more
     */
    public ReadAheadBudget(long sharedBytes) {
        if (sharedBytes < 0) {
            throw new IllegalArgumentException("a read-ahead budget of " + sharedBytes + " bytes");
        }
        this.sharedBytes = sharedBytes;
    }

    /** One connection's part of the budget. */
    public final class Reservation {
        private long reservedBytes;

        /**
         * Adapts the reservation to the bytes that wait to be processed.
         *
         * @return whether the connection may go on reading
         */
        public boolean tryReserve(int waitingBytes) {
            long wanted = Math.max(0, waitingBytes - OWN_BYTES_PER_CONNECTION);
            resize(Math.min(wanted, reservedBytes)); // less of it is needed than before
            if (waitingBytes >= MAX_BYTES_PER_CONNECTION || totalReservedBytes - reservedBytes + wanted > sharedBytes) {
                return waitingBytes < OWN_BYTES_PER_CONNECTION;
            }
            resize(wanted);
            return wanted < sharedBytes || waitingBytes < OWN_BYTES_PER_CONNECTION;
        }

        /** Returns all of it: nothing waits to be processed any more. */
        public void release() {
            resize(0);
        }

        private void resize(long bytes) {
            totalReservedBytes += bytes - reservedBytes;
            reservedBytes = bytes;
        }
    }

    /** The reservation of one more connection, empty at first. */
    public Reservation newReservation() {
        return new Reservation();
    }

    /** Bytes of the shared budget that are reserved. */
    public long reserved() {
        return totalReservedBytes;
    }
}

package cacheproxy.flow;

/**
 * Limits the bytes that are read from clients before the proxy can process them. Reading ahead makes the arrival times
 * of bytes known and detects that a client has closed its connection, but it takes memory. Each connection may read
 * {@link #OWN_BYTES_PER_CONNECTION} ahead, and more from a budget shared by all connections.
 */
public final class ReadAheadBudget {
    /** The read-ahead of each connection that does not count against the shared budget, in bytes. */
    public static final int OWN_BYTES_PER_CONNECTION = 32 << 10;
    /** The maximum read-ahead of one connection, in bytes; enough for thousands of commands. */
    public static final int MAX_BYTES_PER_CONNECTION = 512 << 10;

    private final long sharedBytes;
    private long totalReservedBytes;

    /**
     * Creates the budget.
     *
     * @param sharedBytes the budget shared by all connections, in bytes; 0 or more
     */
    public ReadAheadBudget(long sharedBytes) {
        if (sharedBytes < 0) {
            throw new IllegalArgumentException(
                    "read-ahead budget must not be negative, but is " + sharedBytes + " bytes");
        }
        this.sharedBytes = sharedBytes;
    }

    /** One connection's share of the budget. */
    public final class Reservation {
        private long reservedBytes;

        /**
         * Resizes the reservation to the number of unprocessed bytes.
         *
         * @return whether the connection may continue reading
         */
        public boolean tryReserve(int waitingBytes) {
            long wanted = Math.max(0, waitingBytes - OWN_BYTES_PER_CONNECTION);
            resize(Math.min(wanted, reservedBytes)); // first return what is no longer needed
            if (waitingBytes >= MAX_BYTES_PER_CONNECTION || totalReservedBytes - reservedBytes + wanted > sharedBytes) {
                return waitingBytes < OWN_BYTES_PER_CONNECTION;
            }
            resize(wanted);
            return wanted < sharedBytes || waitingBytes < OWN_BYTES_PER_CONNECTION;
        }

        /** Returns the whole reservation; called when no bytes are waiting to be processed. */
        public void release() {
            resize(0);
        }

        private void resize(long bytes) {
            totalReservedBytes += bytes - reservedBytes;
            reservedBytes = bytes;
        }
    }

    /** Creates the reservation of a new connection, initially empty. */
    public Reservation newReservation() {
        return new Reservation();
    }

    /** Returns the reserved bytes of the shared budget. */
    public long reserved() {
        return totalReservedBytes;
    }
}

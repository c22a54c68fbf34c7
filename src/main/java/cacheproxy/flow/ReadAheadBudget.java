package cacheproxy.flow;

/**
 * Limits the bytes that are read from clients before the proxy can process them. Reading ahead makes the arrival times
 * of bytes known and detects that a client has closed its connection, but it takes memory. Each connection may read
 * {@link #OWN_BYTES_PER_CONNECTION} ahead, and more from a budget shared by all connections. With many connections
 * their own part is smaller, so that all of them together have a limit.
 */
public final class ReadAheadBudget {
    /** The read-ahead of each connection that does not count against the shared budget, in bytes. */
    public static final int OWN_BYTES_PER_CONNECTION = 32 << 10;
    /** The maximum read-ahead of one connection, in bytes; enough for thousands of commands. */
    public static final int MAX_BYTES_PER_CONNECTION = 512 << 10;

    /** The least that a connection may read ahead: more than a command line. */
    static final int MIN_OWN_BYTES = 4 << 10;

    private final long sharedBytes;
    private final long ownBytes;
    private long totalReservedBytes;
    private int connections;

    /**
     * Creates the budget.
     *
     * @param sharedBytes the budget shared by all connections, in bytes; 0 or more
     * @param ownBytes what the connections' own parts may add up to, in bytes, while each has the minimum
     */
    public ReadAheadBudget(long sharedBytes, long ownBytes) {
        if (sharedBytes < 0) {
            throw new IllegalArgumentException(
                    "read-ahead budget must not be negative, but is " + sharedBytes + " bytes");
        }
        this.sharedBytes = sharedBytes;
        this.ownBytes = ownBytes;
    }

    /** One connection's share of the budget. */
    public final class Reservation {
        private long reservedBytes;
        private boolean closed;

        /**
         * Resizes the reservation to the number of unprocessed bytes.
         *
         * @return whether the connection may continue reading
         */
        public boolean tryReserve(int waitingBytes) {
            int own = ownBytesPerConnection();
            long wanted = Math.max(0, waitingBytes - own);
            resize(Math.min(wanted, reservedBytes)); // first return what is no longer needed
            if (waitingBytes >= MAX_BYTES_PER_CONNECTION || totalReservedBytes - reservedBytes + wanted > sharedBytes) {
                return waitingBytes < own;
            }
            resize(wanted);
            return wanted < sharedBytes || waitingBytes < own;
        }

        /** Returns the whole reservation; called when no bytes are waiting to be processed. */
        public void release() {
            resize(0);
        }

        /** Returns the whole reservation at the connection's end; further calls have no effect. */
        public void close() {
            release();
            connections -= closed ? 0 : 1;
            closed = true;
        }

        private void resize(long bytes) {
            totalReservedBytes += bytes - reservedBytes;
            reservedBytes = bytes;
        }
    }

    /** Creates the reservation of a new connection, initially empty. */
    public Reservation newReservation() {
        connections++;
        return new Reservation();
    }

    /** Returns how much each connection may read ahead besides the shared budget, in bytes. */
    int ownBytesPerConnection() {
        long share = ownBytes / Math.max(1, connections);
        return (int) Math.max(MIN_OWN_BYTES, Math.min(OWN_BYTES_PER_CONNECTION, share));
    }

    /** Returns the reserved bytes of the shared budget. */
    public long reserved() {
        return totalReservedBytes;
    }
}

package cacheproxy.flow;

/**
 * How the direct memory of the process is divided among its users, so that all of them together fit into it with what
 * the allocator's pool wastes. Pure.
 *
 * @param connectionsBytes for the first response of each client connection, in bytes
 * @param sharedBytes for values that are buffered whole and the responses to pipelined requests, in bytes
 * @param ownReadAheadBytes for the read-ahead that each client connection is allowed, in bytes
 * @param sharedReadAheadBytes for further read-ahead of clients, in bytes
 */
public record DirectMemoryPlan(
        long connectionsBytes, long sharedBytes, long ownReadAheadBytes, long sharedReadAheadBytes) {
    /** The plan's unit, as a divisor of the direct memory. */
    private static final int PARTS = 32;

    private static final int CONNECTIONS_PARTS = 13;
    private static final int SHARED_PARTS = 9;
    private static final int OWN_READ_AHEAD_PARTS = 1;
    private static final int SHARED_READ_AHEAD_PARTS = 1;
    /** For what is read from servers, discovery and peers, and for commands on their way to servers. */
    private static final int PASSING_PARTS = 4;

    /** Creates the plan for this much direct memory, in bytes; what remains of it is for the pool's waste. */
    public static DirectMemoryPlan of(long maxBytes) {
        return new DirectMemoryPlan(
                parts(maxBytes, CONNECTIONS_PARTS),
                parts(maxBytes, SHARED_PARTS),
                parts(maxBytes, OWN_READ_AHEAD_PARTS),
                parts(maxBytes, SHARED_READ_AHEAD_PARTS));
    }

    /** What of this much direct memory the plan leaves to the waste of the allocator's pool, in bytes. */
    public static long poolWasteBytes(long maxBytes) {
        int planned = CONNECTIONS_PARTS + SHARED_PARTS + OWN_READ_AHEAD_PARTS + SHARED_READ_AHEAD_PARTS + PASSING_PARTS;
        return parts(maxBytes, PARTS - planned);
    }

    private static long parts(long maxBytes, int parts) {
        return maxBytes / PARTS * parts;
    }
}

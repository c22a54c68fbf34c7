package cacheproxy.gossip;

/**
 * Limits what an instance sends to its peers, regardless of the fleet size: a token bucket in bytes, shared by all
 * senders of the process. The lower the priority of a datagram, the more bytes it has to leave in the bucket for
 * others. Datagrams that exceed the budget are not sent: messages between peers may be lost anyway, and are repeated.
 * Times in milliseconds of one clock; not thread-safe.
 */
public final class SendBudget {
    /** The priority of a datagram. */
    public enum Priority {
        /** A peer waits for the datagram, or it refutes wrong information. */
        HIGH(0),
        /** The datagram reports a change. */
        NORMAL(0.25),
        /** All other datagrams. */
        LOW(0.5);

        /** The fraction of the bucket that is reserved for higher priorities. */
        private final double reservedFraction;

        Priority(double reservedFraction) {
            this.reservedFraction = reservedFraction;
        }
    }

    private static final double MIN_BYTES_PER_SECOND = 100;
    private static final double MAX_BYTES_PER_SECOND = 1_000_000;

    private final double bytesPerMs;
    private final double capacityBytes;
    private double availableBytes;
    /** When the bucket was last refilled; NaN before the first use. */
    private double lastRefillMs = Double.NaN;

    private long droppedDatagrams;

    /**
     * Creates a full bucket.
     *
     * @param bytesPerSecond the refill rate, 100 to 1,000,000
     * @param burstBytes the capacity, at least one datagram
     */
    public SendBudget(double bytesPerSecond, double burstBytes) {
        if (!(bytesPerSecond >= MIN_BYTES_PER_SECOND
                && bytesPerSecond <= MAX_BYTES_PER_SECOND
                && burstBytes >= Envelope.MAX_DATAGRAM_BYTES)) {
            throw new IllegalArgumentException(
                    "send budget of " + bytesPerSecond + " bytes per second with a burst of " + burstBytes
                            + " bytes; expected 100 to 1,000,000 bytes per second and a burst of at least one datagram");
        }
        bytesPerMs = bytesPerSecond / 1000;
        capacityBytes = burstBytes;
        availableBytes = burstBytes;
    }

    /** Whether a datagram of this size may be sent now; if so, its bytes are taken from the bucket. */
    public boolean tryAcquire(double nowMs, int bytes, Priority priority) {
        refill(nowMs);
        if (availableBytes - bytes < capacityBytes * priority.reservedFraction) {
            droppedDatagrams++;
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /**
     * Returns the number of bytes available to {@link Priority#LOW} now; negative if higher priorities have used some
     * of their reserved bytes.
     */
    public int availableForLowPriority(double nowMs) {
        refill(nowMs);
        return (int) (availableBytes - capacityBytes * Priority.LOW.reservedFraction);
    }

    private void refill(double nowMs) {
        if (!Double.isNaN(lastRefillMs)) {
            double refillBytes = Math.max(0, nowMs - lastRefillMs) * bytesPerMs;
            availableBytes = Math.min(capacityBytes, availableBytes + refillBytes);
        }
        lastRefillMs = Double.isNaN(lastRefillMs) ? nowMs : Math.max(lastRefillMs, nowMs);
    }

    /** Returns the number of datagrams that exceeded the budget since the start. */
    public long droppedDatagrams() {
        return droppedDatagrams;
    }
}

package cacheproxy.gossip;

/**
 * Limits what an instance sends to its peers, whatever the size of the fleet: a token bucket in bytes, shared by all
 * senders of the program. The lower the priority of a datagram, the more it has to leave in the bucket for others. What
 * finds no room is not sent: messages between peers may be lost anyway, and are repeated. Times in milliseconds of one
 * clock; not thread-safe.
 */
public final class SendBudget {
    /** The priority of a datagram. */
    public enum Priority {
        /** Somebody waits for it, or it refutes something wrong. */
        HIGH(0),
        /** Something has changed. */
        NORMAL(0.25),
        /** The rest. */
        LOW(0.5);

        /** The part of the bucket that it leaves to higher priorities. */
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
    /** NaN before the first use. */
    private double lastRefillMs = Double.NaN;

    private long droppedDatagrams;

    /**
     * A full bucket.
     *
     * @param bytesPerSecond at which it fills, 100 to 1,000,000
     * @param burstBytes what it holds; a datagram at least
     */
    public SendBudget(double bytesPerSecond, double burstBytes) {
        if (!(bytesPerSecond >= MIN_BYTES_PER_SECOND
                && bytesPerSecond <= MAX_BYTES_PER_SECOND
                && burstBytes >= Envelope.MAX_DATAGRAM_BYTES)) {
            throw new IllegalArgumentException("a budget of " + bytesPerSecond + " bytes a second, " + burstBytes
                    + " at once; expected 100 to 1,000,000, and a datagram at least");
        }
        bytesPerMs = bytesPerSecond / 1000;
        capacityBytes = burstBytes;
        availableBytes = burstBytes;
    }

    /** Whether a datagram of so many bytes may be sent now; they are taken from the bucket then. */
    public boolean tryAcquire(double nowMs, int bytes, Priority priority) {
        refill(nowMs);
        if (availableBytes - bytes < capacityBytes * priority.reservedFraction) {
            droppedDatagrams++;
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** The bytes that {@link Priority#LOW} may take now; negative if higher priorities have used some of their part. */
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

    /** Datagrams that found no room since the start. */
    public long droppedDatagrams() {
        return droppedDatagrams;
    }
}

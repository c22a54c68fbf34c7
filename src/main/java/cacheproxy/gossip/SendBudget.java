package cacheproxy.gossip;

/**
 * What an instance may send to its peers: one budget for all parts of the program, in bytes a second, whatever the size
 * of the fleet. A bucket that fills evenly; the less urgent a datagram is, the more it leaves in it. What finds no room
 * is not sent: messages between peers may be lost anyway, and what they say is said again.
 */
public final class SendBudget {
    /** How urgent a datagram is; each leaves this part of the bucket to those before it. */
    public enum Priority {
        /** Somebody waits for it, or it says that something is wrong. */
        HIGH(0),
        /** Something has changed. */
        NORMAL(0.25),
        /** The rest. */
        LOW(0.5);

        private final double reservedFraction;

        Priority(double leaves) {
            this.reservedFraction = leaves;
        }
    }

    private final double bytesPerMs;
    private final double capacityBytes;
    private double availableBytes;
    private double lastRefillMs = Double.NaN;
    private long droppedDatagrams;

    /**
     * A full bucket.
     *
     * @param bytesPerSecond 100 to 1,000,000
     * @param burst what it holds, in bytes; a datagram at least
     */
    public SendBudget(double bytesPerSecond, double burst) {
        if (!(bytesPerSecond >= 100 && bytesPerSecond <= 1_000_000 && burst >= Envelope.MAX_DATAGRAM_BYTES)) {
            throw new IllegalArgumentException(
                    "a budget of " + bytesPerSecond + " bytes a second, " + burst + " at once");
        }
        bytesPerMs = bytesPerSecond / 1000;
        capacityBytes = burst;
        availableBytes = burst;
    }

    /** Whether a datagram of so many bytes may go out now; it is charged then. */
    public boolean tryAcquire(double nowMs, int bytes, Priority level) {
        refill(nowMs);
        if (availableBytes - bytes < capacityBytes * level.reservedFraction) {
            droppedDatagrams++;
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** What is there beyond what the most urgent are left, in bytes; negative if that is not there either. */
    public int availableForLowPriority(double nowMs) {
        refill(nowMs);
        return (int) (availableBytes - capacityBytes * Priority.LOW.reservedFraction);
    }

    private void refill(double nowMs) {
        if (!Double.isNaN(lastRefillMs)) {
            availableBytes = Math.min(capacityBytes, availableBytes + Math.max(0, nowMs - lastRefillMs) * bytesPerMs);
        }
        lastRefillMs = Double.isNaN(lastRefillMs) ? nowMs : Math.max(lastRefillMs, nowMs);
    }

    /** Datagrams that found no room since the start. */
    public long droppedDatagrams() {
        return droppedDatagrams;
    }
}

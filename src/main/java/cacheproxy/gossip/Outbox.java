package cacheproxy.gossip;

/**
 * What an instance may send to its peers: one budget for all parts of the program, in bytes a second, whatever the size
 * of the fleet. A bucket that fills evenly; the less urgent a datagram is, the more it leaves in it. What finds no room
 * is not sent: messages between peers may be lost anyway, and what they say is said again.
 */
public final class Outbox {
    /** How urgent a datagram is; each leaves this part of the bucket to those before it. */
    public enum Level {
        /** Somebody waits for it, or it says that something is wrong. */
        FIRST(0),
        /** Something has changed. */
        SECOND(0.25),
        /** The rest. */
        THIRD(0.5);

        private final double leaves;

        Level(double leaves) {
            this.leaves = leaves;
        }
    }

    private final double bytesPerMs;
    private final double most;
    private double has;
    private double lastMs = Double.NaN;
    private long dropped;

    /**
     * A full bucket.
     *
     * @param bytesPerSecond 100 to 1,000,000
     * @param burst what it holds, in bytes; a datagram at least
     */
    public Outbox(double bytesPerSecond, double burst) {
        if (!(bytesPerSecond >= 100 && bytesPerSecond <= 1_000_000 && burst >= Envelope.MOST_BYTES)) {
            throw new IllegalArgumentException(
                    "a budget of " + bytesPerSecond + " bytes a second, " + burst + " at once");
        }
        bytesPerMs = bytesPerSecond / 1000;
        most = burst;
        has = burst;
    }

    /** Whether a datagram of so many bytes may go out now; it is charged then. */
    public boolean admits(double nowMs, int bytes, Level level) {
        fill(nowMs);
        if (has - bytes < most * level.leaves) {
            dropped++;
            return false;
        }
        has -= bytes;
        return true;
    }

    /** What is there beyond what the most urgent are left, in bytes; negative if that is not there either. */
    public int spare(double nowMs) {
        fill(nowMs);
        return (int) (has - most * Level.THIRD.leaves);
    }

    private void fill(double nowMs) {
        if (!Double.isNaN(lastMs)) {
            has = Math.min(most, has + Math.max(0, nowMs - lastMs) * bytesPerMs);
        }
        lastMs = Double.isNaN(lastMs) ? nowMs : Math.max(lastMs, nowMs);
    }

    /** Datagrams that found no room since the start. */
    public long dropped() {
        return dropped;
    }
}

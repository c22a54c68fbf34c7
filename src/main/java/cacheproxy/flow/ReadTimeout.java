package cacheproxy.flow;

/**
 * Limits the time that a client may take to send its first command and to complete a command that it has begun. Pure:
 * each event carries its time, in milliseconds of one monotonic clock.
 *
 * <p>A period starts when the connection is accepted, at the first byte of a command, or at the last byte of a command
 * line that is followed by a value; it ends with the command's last byte. Received bytes do not restart it, otherwise a
 * client that sends a byte now and then would never time out. A value extends its period in proportion to the bytes
 * received, but a pause within it must not exceed the timeout of a whole line. Time during which the proxy has paused
 * reading does not count.
 */
public final class ReadTimeout {
    /**
     * The timeout for a command line, for a pause within a value and for a connection's first command, in milliseconds.
     * A client that stops sending must get an error or a close within 3 s of connecting; the margin allows for a busy
     * machine and the network.
     */
    public static final double TIMEOUT_MS = 2400;
    /** The rate at which received bytes of a value extend its period; far below that of any healthy client. */
    static final double MIN_VALUE_BYTES_PER_MS = 4;

    /** What the client is currently sending. */
    private enum Phase {
        /** No complete command has been received yet. */
        FIRST_COMMAND,
        /** Between commands; no timeout applies. */
        IDLE,
        /** A command line has been received in part. */
        LINE,
        /** A command line is complete, its value is not. */
        VALUE
    }

    private Phase phase;
    private double sinceMs;
    private double lastByteMs;
    private long valueBytes;
    /** When the proxy paused reading; NaN while it is not paused. */
    private double pausedSinceMs = Double.NaN;

    private ReadTimeout(Phase phase, double sinceMs) {
        this.phase = phase;
        this.sinceMs = sinceMs;
        lastByteMs = sinceMs;
    }

    /** Creates the timeout of a connection that was accepted at this time. */
    public static ReadTimeout forNewConnection(double atMs) {
        return new ReadTimeout(Phase.FIRST_COMMAND, atMs);
    }

    /** Creates the timeout of a connection passed on by another process; no first command is required of it. */
    public static ReadTimeout forAdoptedConnection(double atMs) {
        return new ReadTimeout(Phase.IDLE, atMs);
    }

    /** Records a partial command line whose first byte arrived at this time; only has an effect between commands. */
    public void lineStarted(double atMs) {
        if (phase == Phase.IDLE) {
            start(Phase.LINE, atMs);
        }
    }

    /** Records that a command line was completed at this time and its value follows. */
    public void valueStarted(double atMs) {
        start(Phase.VALUE, atMs);
        valueBytes = 0;
    }

    /** Records that this number of further bytes of the value has arrived. */
    public void valueReceived(long bytes, double atMs) {
        valueBytes += bytes;
        lastByteMs = Math.max(lastByteMs, atMs);
    }

    /** Records that the command is complete. */
    public void commandCompleted() {
        phase = Phase.IDLE;
    }

    /** Records that the proxy pauses or resumes reading and processing this client's input at this time. */
    public void setPaused(boolean pause, double atMs) {
        if (pause == paused()) {
            return;
        }
        if (pause) {
            pausedSinceMs = atMs;
        } else {
            double pausedMs = Math.max(0, atMs - pausedSinceMs);
            sinceMs += pausedMs;
            lastByteMs += pausedMs;
            pausedSinceMs = Double.NaN;
        }
    }

    private boolean paused() {
        return !Double.isNaN(pausedSinceMs);
    }

    /** Returns when the client times out if no more bytes arrive; infinite while no timeout applies. */
    public double expiresAtMs() {
        if (paused()) {
            return Double.POSITIVE_INFINITY;
        }
        return switch (phase) {
            case IDLE -> Double.POSITIVE_INFINITY;
            case FIRST_COMMAND, LINE -> sinceMs + TIMEOUT_MS;
            case VALUE -> TIMEOUT_MS + Math.min(lastByteMs, sinceMs + valueBytes / MIN_VALUE_BYTES_PER_MS);
        };
    }

    private void start(Phase next, double atMs) {
        phase = next;
        sinceMs = atMs;
        lastByteMs = atMs;
        if (paused()) {
            pausedSinceMs = Math.max(pausedSinceMs, atMs);
        }
    }

    /** Describes what the client is currently sending, in the form used by the log. */
    @Override
    public String toString() {
        return switch (phase) {
            case FIRST_COMMAND -> "first command";
            case IDLE -> "idle";
            case LINE -> "command line";
            case VALUE -> "value after " + valueBytes + " bytes";
        };
    }
}

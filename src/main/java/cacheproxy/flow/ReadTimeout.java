package cacheproxy.flow;

/**
 * Decides how long a client may take to send its first command and the rest of a command that it has begun. Pure: each
 * event brings its time, in milliseconds of one monotonic clock.
 *
 * <p>A span starts when the connection is accepted, at the first byte of a command, or at the last byte of a command
 * line that a value follows; it ends with the command's last byte. Bytes do not renew it, or a client that sends one
 * now and then would never time out. Only a value earns time by what has arrived of it, and must not pause for longer
 * than a line may take as a whole. Time in which the proxy itself has paused reading does not count.
 */
public final class ReadTimeout {
    /**
     * Timeout of a command line, of a pause within a value and of a connection's first command, in milliseconds.
     * Clients that stop are owed an error or a close within 3 s of connecting; the difference is for a busy machine and
     * the network.
     */
    public static final double TIMEOUT_MS = 2400;
    /** A value earns time at this rate, far below what any sound client sends. */
    static final double MIN_VALUE_BYTES_PER_MS = 4;

    /** What the client is in the middle of. */
    private enum Phase {
        /** It has connected and has sent no complete command yet. */
        FIRST_COMMAND,
        /** Between commands: no time runs. */
        IDLE,
        /** A command line has started. */
        LINE,
        /** A command line is complete, and its value is not. */
        VALUE
    }

    private Phase phase;
    private double sinceMs;
    private double lastByteMs;
    private long valueBytes;
    /** When the proxy paused reading; NaN: it has not. */
    private double pausedSinceMs = Double.NaN;

    private ReadTimeout(Phase phase, double sinceMs) {
        this.phase = phase;
        this.sinceMs = sinceMs;
        lastByteMs = sinceMs;
    }

    /** The timeout of a connection that was accepted at this time. */
    public static ReadTimeout forNewConnection(double atMs) {
        return new ReadTimeout(Phase.FIRST_COMMAND, atMs);
    }

    /** The timeout of a connection that another process has served before: no first command is waited for. */
    public static ReadTimeout forAdoptedConnection(double atMs) {
        return new ReadTimeout(Phase.IDLE, atMs);
    }

    /** Part of a command line is there, whose first byte arrived at this time. */
    public void lineStarted(double atMs) {
        if (phase == Phase.IDLE) {
            start(Phase.LINE, atMs);
        }
    }

    /** A command line was completed at this time; its value follows. */
    public void valueStarted(double atMs) {
        start(Phase.VALUE, atMs);
        valueBytes = 0;
    }

    /** So many further bytes of the value have arrived. */
    public void valueReceived(long bytes, double atMs) {
        valueBytes += bytes;
        lastByteMs = Math.max(lastByteMs, atMs);
    }

    /** The command is complete. */
    public void commandCompleted() {
        phase = Phase.IDLE;
    }

    /** The proxy pauses reading or processing this client's input from this time on, or resumes it. */
    public void setPaused(boolean on, double atMs) {
        if (on == paused()) {
            return;
        }
        if (on) {
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

    /** When the client times out if nothing more arrives; infinite while no span runs. */
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

    /** What the client is in the middle of, as the log names it. */
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

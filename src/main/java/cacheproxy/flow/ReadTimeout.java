package cacheproxy.flow;

/**
 * How long a client may take over the rest of a request that it has begun, or over its first one. Decides without a
 * clock: each event brings the time at which it happened, in milliseconds of one monotonic clock.
 *
 * <p>A span begins when the connection comes, at the first byte of a command, or at the last byte of a command that has
 * a value to follow. Bytes do not renew it: a client that sends one now and then would never be found. Only a value,
 * which may be long, earns time by what has come of it, and must not stop in its middle for longer than a line may take
 * as a whole. Time in which the proxy itself has kept the client from sending does not count. A span ends with the last
 * byte of its command.
 */
public final class ReadTimeout {
    /**
     * For a line, for a pause within a value, and for the first command of a connection. The operators owe clients that
     * stop an error or a close within 3 s of connecting; the rest is for a busy machine and the way to the client.
     */
    public static final double SPAN_MS = 2400;
    /** A value's part of the time is earned at this rate: far below what any sound client sends. */
    static final double MIN_BYTES_PER_MS = 4;

    /** What the client is in the middle of. */
    private enum Phase {
        /** It has connected and has sent no whole command yet. */
        FIRST_COMMAND,
        /** Between commands: no time runs. */
        IDLE,
        /** A command's line has begun. */
        LINE,
        /** A command's line has come, and its value has not come whole. */
        VALUE
    }

    private Phase phase;
    private double sinceMs;
    private double lastByteMs;
    private long valueBytes;
    /** When the proxy began to keep the client from sending; NaN: it does not. */
    private double blockedSinceMs = Double.NaN;

    private ReadTimeout(Phase phase, double sinceMs) {
        this.phase = phase;
        this.sinceMs = sinceMs;
        lastByteMs = sinceMs;
    }

    /** Of a connection that has come at this time. */
    public static ReadTimeout connected(double atMs) {
        return new ReadTimeout(Phase.FIRST_COMMAND, atMs);
    }

    /** Of a connection that another process has served before. */
    public static ReadTimeout adopted(double atMs) {
        return new ReadTimeout(Phase.IDLE, atMs);
    }

    /** Part of a command's line is there, the first byte of which came at this time. */
    public void lineBegun(double atMs) {
        if (phase == Phase.IDLE) {
            begin(Phase.LINE, atMs);
        }
    }

    /** A command's line has come whole at this time; its value is to follow. */
    public void valueBegun(double atMs) {
        begin(Phase.VALUE, atMs);
        valueBytes = 0;
    }

    /** So many bytes more of the value have come. */
    public void valueReceived(long bytes, double atMs) {
        valueBytes += bytes;
        lastByteMs = Math.max(lastByteMs, atMs);
    }

    /** The command has come whole. */
    public void commandEnded() {
        phase = Phase.IDLE;
    }

    /** The proxy keeps the client from sending, or does not look at what it has sent, from now on or no longer. */
    public void blocked(boolean on, double atMs) {
        if (on == blocked()) {
            return;
        }
        if (on) {
            blockedSinceMs = atMs;
        } else {
            double blockedMs = Math.max(0, atMs - blockedSinceMs);
            sinceMs += blockedMs;
            lastByteMs += blockedMs;
            blockedSinceMs = Double.NaN;
        }
    }

    private boolean blocked() {
        return !Double.isNaN(blockedSinceMs);
    }

    /** When the client will have taken too long if nothing more comes; infinite while no time runs. */
    public double expiresAtMs() {
        if (blocked()) {
            return Double.POSITIVE_INFINITY;
        }
        return switch (phase) {
            case IDLE -> Double.POSITIVE_INFINITY;
            case FIRST_COMMAND, LINE -> sinceMs + SPAN_MS;
            case VALUE -> SPAN_MS + Math.min(lastByteMs, sinceMs + valueBytes / MIN_BYTES_PER_MS);
        };
    }

    private void begin(Phase next, double atMs) {
        phase = next;
        sinceMs = atMs;
        lastByteMs = atMs;
        if (blocked()) {
            blockedSinceMs = Math.max(blockedSinceMs, atMs);
        }
    }

    /** What the client is in the middle of, for a log. */
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

package cacheproxy.flow;

import java.util.ArrayDeque;

/**
 * When the bytes of one connection came to this machine, for as long as they wait to be looked at. Decides without a
 * clock; times are in milliseconds of one monotonic clock, positions count the connection's bytes from its start.
 *
 * <p>Where the time of a byte is not known, as it waited in the system, the earliest possible one stands for it: a
 * server may be told of less time than its client has left, and never of more.
 */
public final class ArrivalTimes {
    /** Beyond this many pieces two neighbours become one, at the earlier's time. */
    static final int MAX_PIECES = 256;

    /**
     * A sender whose bytes had no room in the system here sends on within one round trip once there is some: what comes
     * later than this after all has been read had not been sent before.
     */
    static final double REFILL_MS = 20;
    /** The same where nothing of this client is under way, so that nothing slows its bytes down. */
    static final double IDLE_REFILL_MS = 2;

    /**
     * What the system here and the sender's keep of a connection that is not read. What comes behind so much had no
     * room to wait: its sender was still sending, as in the middle of a long value.
     */
    static final int MAX_WAITING_BYTES = 1 << 20;

    private final ArrayDeque<Piece> pieces = new ArrayDeque<>(2);
    private long received;
    /** Since when bytes may have been waiting, in the system or for room there; NaN: none may. */
    private double waitingSinceMs = Double.NaN;
    /** Bytes that have been read since then. */
    private long waitedBytes;
    /** When all was read that the system held; NaN: not since bytes have been waiting. */
    private double drainedMs = Double.NaN;

    private record Piece(long end, double atMs) {}

    /** From this time on bytes may wait in the system, as nothing is read or not all has been. */
    public void mayWait(double sinceMs) {
        if (Double.isNaN(waitingSinceMs)) {
            waitingSinceMs = sinceMs;
            waitedBytes = 0;
        }
        drainedMs = Double.NaN;
    }

    /** The system holds nothing of this connection any more. */
    public void drained(double atMs) {
        if (Double.isNaN(drainedMs)) {
            drainedMs = atMs;
        }
    }

    /**
     * Bytes have been read.
     *
     * @param bytes how many
     * @param atMs when they came, as far as that is known, had none of them had to wait
     * @param idle whether nothing of this client was under way before them
     */
    public void received(int bytes, double atMs, boolean idle) {
        if (bytes <= 0) {
            return;
        }
        if (atMs - drainedMs > (idle ? IDLE_REFILL_MS : REFILL_MS) || waitedBytes > MAX_WAITING_BYTES) {
            waitingSinceMs = Double.NaN;
        }
        drainedMs = Double.NaN;
        received += bytes;
        waitedBytes += bytes;
        add(Double.isNaN(waitingSinceMs) ? atMs : Math.min(atMs, waitingSinceMs));
    }

    private void add(double atMs) {
        Piece last = pieces.peekLast();
        if (last != null && (last.atMs == atMs || pieces.size() >= MAX_PIECES)) {
            pieces.pollLast();
            pieces.add(new Piece(received, Math.min(last.atMs, atMs)));
        } else {
            pieces.add(new Piece(received, atMs));
        }
    }

    /** Bytes that have been read so far. */
    public long received() {
        return received;
    }

    /**
     * When the byte at this position came, the first being at 1; what came before it is not asked for again.
     *
     * @param position at most {@link #received}
     */
    public double cameAtMs(long position) {
        Piece first;
        while ((first = pieces.peekFirst()) != null && first.end < position) {
            pieces.pollFirst();
        }
        if (first == null) {
            throw new IllegalArgumentException("byte " + position + " of " + received);
        }
        return first.atMs;
    }
}

package cacheproxy.flow;

import java.util.ArrayDeque;

/**
 * Records when the unprocessed bytes of one connection arrived at this machine. Pure; times are milliseconds of one
 * monotonic clock, positions count the connection's bytes from its start.
 *
 * <p>If a byte may have waited in a kernel buffer, its arrival time is unknown and the earliest possible time is used.
 * A server may therefore be sent a shorter timeout than its client has left, but never a longer one.
 */
public final class ArrivalTimes {
    /** When this number is reached, a new segment is merged into the last one, which keeps the earlier time. */
    static final int MAX_SEGMENTS = 256;

    /**
     * A sender that was blocked by a full receive buffer resumes within one round trip after the buffer has been
     * drained. Bytes that arrive later than this after the drain were therefore not sent before it.
     */
    static final double REFILL_MS = 20;
    /** The same limit when the client has no request in flight, so that nothing delays its bytes. */
    static final double IDLE_REFILL_MS = 2;

    /**
     * The number of bytes that the kernels on both sides buffer for a connection that is not being read. Bytes beyond
     * it cannot have waited in a buffer: the sender was still sending, for example in the middle of a long value.
     */
    static final int MAX_BACKLOG_BYTES = 1 << 20;

    private final ArrayDeque<Segment> segments = new ArrayDeque<>(2);
    private long received;
    /** Since when bytes may have been waiting in the kernel or for space in its buffer; NaN if none can be waiting. */
    private double backlogSinceMs = Double.NaN;
    /** The number of bytes read since then. */
    private long backlogBytes;
    /**
     * When the kernel's buffer had been read to its end; NaN if it has not been since the last bytes arrived or since
     * bytes may have been waiting.
     */
    private double backlogDrainedMs = Double.NaN;

    private record Segment(long endPosition, double atMs) {}

    /**
     * Records that from this time on bytes may be waiting in the kernel, because reading is paused or has not reached
     * the end of the input.
     */
    public void backlogPossible(double sinceMs) {
        if (Double.isNaN(backlogSinceMs)) {
            backlogSinceMs = sinceMs;
            backlogBytes = 0;
        }
        backlogDrainedMs = Double.NaN;
    }

    /** Records that the kernel's buffer for this connection has been read to its end. */
    public void backlogDrained(double atMs) {
        if (Double.isNaN(backlogDrainedMs)) {
            backlogDrainedMs = atMs;
        }
    }

    /**
     * Records that bytes have been read.
     *
     * @param bytes their number
     * @param atMs the best known arrival time, valid if none of them had to wait in the kernel
     * @param idle whether the client had no request in flight before them
     */
    public void received(int bytes, double atMs, boolean idle) {
        if (bytes <= 0) {
            return;
        }
        if (atMs - backlogDrainedMs > (idle ? IDLE_REFILL_MS : REFILL_MS) || backlogBytes > MAX_BACKLOG_BYTES) {
            backlogSinceMs = Double.NaN;
        }
        backlogDrainedMs = Double.NaN;
        received += bytes;
        backlogBytes += bytes;
        add(Double.isNaN(backlogSinceMs) ? atMs : Math.min(atMs, backlogSinceMs));
    }

    private void add(double atMs) {
        Segment last = segments.peekLast();
        if (last != null && (last.atMs == atMs || segments.size() >= MAX_SEGMENTS)) {
            segments.pollLast();
            segments.add(new Segment(received, Math.min(last.atMs, atMs)));
        } else {
            segments.add(new Segment(received, atMs));
        }
    }

    /** Returns the number of bytes read so far. */
    public long received() {
        return received;
    }

    /**
     * Returns when the byte at this position arrived. The first byte has position 1; calls must use ascending
     * positions, because older times are discarded.
     *
     * @param position at most {@link #received()}
     */
    public double arrivedAtMs(long position) {
        Segment first;
        while ((first = segments.peekFirst()) != null && first.endPosition < position) {
            segments.pollFirst();
        }
        if (first == null) {
            throw new IllegalArgumentException("byte " + position + " of " + received);
        }
        return first.atMs;
    }
}

package cacheproxy.flow;

import java.util.ArrayDeque;

/**
 * Records when the bytes of one connection arrived at this machine, for as long as they wait to be processed. Pure;
 * times are milliseconds of one monotonic clock, positions count the connection's bytes from its start.
 *
 * <p>Where a byte's time is unknown, because it waited in the kernel, the earliest possible one stands for it: a server
 * may be passed less time than its client has left, and never more.
 */
public final class ArrivalTimes {
    /** Beyond this many segments two neighbours are merged, at the earlier's time. */
    static final int MAX_SEGMENTS = 256;

    /**
     * A sender whose bytes found no room in the kernel here sends on within one round trip once there is some: what
     * arrives later than this after the backlog was drained had not been sent before.
     */
    static final double REFILL_MS = 20;
    /** The same where no request of this client is in flight, so that nothing slows its bytes down. */
    static final double IDLE_REFILL_MS = 2;

    /**
     * What the kernels on both sides buffer of a connection that is not read. What arrives behind so much had no room
     * to wait: its sender was still sending, as in the middle of a long value.
     */
    static final int MAX_BACKLOG_BYTES = 1 << 20;

    private final ArrayDeque<Segment> segments = new ArrayDeque<>(2);
    private long received;
    /** Since when bytes may have been waiting in the kernel or for room there; NaN: none may. */
    private double backlogSinceMs = Double.NaN;
    /** Bytes that have been read since then. */
    private long backlogBytes;
    /** When all that the kernel held had been read; NaN: not since bytes may have been waiting. */
    private double backlogDrainedMs = Double.NaN;

    private record Segment(long endPosition, double atMs) {}

    /** From this time on bytes may wait in the kernel, as reading is paused or has not reached the end of the input. */
    public void backlogPossible(double sinceMs) {
        if (Double.isNaN(backlogSinceMs)) {
            backlogSinceMs = sinceMs;
            backlogBytes = 0;
        }
        backlogDrainedMs = Double.NaN;
    }

    /** The kernel holds nothing of this connection any more. */
    public void backlogDrained(double atMs) {
        if (Double.isNaN(backlogDrainedMs)) {
            backlogDrainedMs = atMs;
        }
    }

    /**
     * Bytes have been read.
     *
     * @param bytes how many
     * @param atMs when they arrived, as far as that is known, if none of them had to wait
     * @param idle whether no request of this client was in flight before them
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

    /** Bytes that have been read so far. */
    public long received() {
        return received;
    }

    /**
     * When the byte at this position arrived, the first being at 1. Positions must be asked for in ascending order.
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

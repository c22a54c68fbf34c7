package cacheproxy.flow;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Limits the memory of values that are buffered whole. A value that finds no room waits in a queue, and reading from
 * its client is paused meanwhile. A quarter is reserved for small values, so that a few large ones that arrive slowly
 * do not hold up the many.
 *
 * <p>Memory is reserved for the whole value before its first byte: reserved piece by piece, two half-received values
 * could wait for each other for ever.
 */
public final class ByteBudget {
    /** Values up to this size are small, in bytes. */
    public static final int SMALL_VALUE_BYTES = 64 << 10;
    /** One part of so many is for small values alone. */
    private static final int SMALL_VALUE_SHARE_DIVISOR = 4;
    /** How many reservations may wait; the next one is rejected. */
    static final int MAX_WAITING = 1024;

    private final long capacity;
    private final ArrayDeque<Reservation> waiting = new ArrayDeque<>();
    private long reserved;

    /**
     * Creates the budget.
     *
     * @param capacity bytes in all, above 0
     */
    public ByteBudget(long capacity) {
        if (capacity <= 0) {
            throw new IllegalArgumentException("a budget of " + capacity + " bytes");
        }
        this.capacity = capacity;
    }

    /** A reservation of memory: granted, waiting, or released. */
    public final class Reservation {
        private final int bytes;
        private final Runnable onGranted;
        private boolean granted;
        private boolean released;

        private Reservation(int bytes, Runnable onGranted) {
            this.bytes = bytes;
            this.onGranted = onGranted;
        }

        /** Whether the memory is its own now. */
        public boolean granted() {
            return granted;
        }

        /** Returns the memory or leaves the queue; further calls do nothing. */
        public void release() {
            if (released) {
                return;
            }
            released = true;
            if (granted) {
                reserved -= bytes;
            } else {
                waiting.remove(this);
            }
            grantWaiting();
        }
    }

    /**
     * Reserves memory.
     *
     * @param bytes how many
     * @param onGranted run once if the reservation is granted later and not at once; not after its release
     * @return null if it is rejected: it exceeds the whole budget, or too many wait
     */
    public Reservation reserve(int bytes, Runnable onGranted) {
        if (bytes < 0 || bytes > limit(bytes)) {
            return null;
        }
        Reservation reservation = new Reservation(bytes, onGranted);
        if (fits(reservation) && (bytes <= SMALL_VALUE_BYTES || waiting.isEmpty())) {
            grant(reservation);
        } else if (waiting.size() >= MAX_WAITING) {
            return null;
        } else {
            waiting.add(reservation);
        }
        return reservation;
    }

    /** Bytes that are reserved now. */
    public long reserved() {
        return reserved;
    }

    /** Reservations that wait. */
    public int waiting() {
        return waiting.size();
    }

    private long limit(int bytes) {
        return bytes <= SMALL_VALUE_BYTES ? capacity : capacity - capacity / SMALL_VALUE_SHARE_DIVISOR;
    }

    private boolean fits(Reservation reservation) {
        return reserved + reservation.bytes <= limit(reservation.bytes);
    }

    private void grant(Reservation reservation) {
        reservation.granted = true;
        reserved += reservation.bytes;
    }

    /** In the order in which they came, but small ones are not held up by a large one before them. */
    private void grantWaiting() {
        ArrayDeque<Reservation> granted = new ArrayDeque<>();
        boolean largeWaits = false;
        for (Iterator<Reservation> i = waiting.iterator(); i.hasNext(); ) {
            Reservation next = i.next();
            if (fits(next) && (next.bytes <= SMALL_VALUE_BYTES || !largeWaits)) {
                i.remove();
                grant(next);
                granted.add(next);
            } else {
                largeWaits |= next.bytes > SMALL_VALUE_BYTES;
            }
        }
        granted.forEach(next -> next.onGranted.run());
    }
}

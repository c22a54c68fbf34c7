package cacheproxy.flow;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Limits the memory of values that are buffered completely. A value that does not fit waits in a queue, and its client
 * is not read meanwhile. A quarter of the budget is reserved for small values, so that a few large values that arrive
 * slowly do not block all others.
 *
 * <p>Memory for the complete value is reserved before its first byte is read. With incremental reservations, two
 * partially received values could deadlock waiting for each other.
 */
public final class ByteBudget {
    /** The maximum size of a small value, in bytes. */
    public static final int SMALL_VALUE_BYTES = 64 << 10;
    /** The inverse of the fraction of the budget that is reserved for small values. */
    private static final int SMALL_VALUE_SHARE_DIVISOR = 4;
    /** The inverse of the fraction of the budget up to which pipelined requests are begun. */
    private static final int PIPELINED_SHARE_DIVISOR = 2;
    /** The maximum number of waiting reservations; further ones are rejected. */
    static final int MAX_WAITING = 1024;

    private final long capacity;
    private final ArrayDeque<Reservation> waiting = new ArrayDeque<>();
    private long reserved;
    private Runnable onRelease = () -> {};

    /**
     * Creates the budget.
     *
     * @param capacity total number of bytes, above 0
     */
    public ByteBudget(long capacity) {
        if (capacity <= 0) {
            throw new IllegalArgumentException("byte budget must be above 0, not " + capacity + " bytes");
        }
        this.capacity = capacity;
    }

    /** A memory reservation: granted, waiting or released. */
    public final class Reservation {
        private final Runnable onGranted;
        private int bytes;
        private boolean granted;
        private boolean released;

        private Reservation(int bytes, Runnable onGranted) {
            this.bytes = bytes;
            this.onGranted = onGranted;
        }

        /** Whether the memory has been granted. */
        public boolean granted() {
            return granted;
        }

        /** Returns the memory or cancels the wait; further calls have no effect. */
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

        /** Returns this many bytes of a granted reservation; no effect once all of it is returned. */
        public void release(int part) {
            if (released) {
                return;
            }
            if (!granted || part < 0 || part > bytes) {
                throw new IllegalArgumentException("cannot return " + part + " of " + bytes + " bytes");
            }
            bytes -= part;
            reserved -= part;
            released = bytes == 0;
            grantWaiting();
        }
    }

    /**
     * Reserves memory.
     *
     * @param bytes the number of bytes
     * @param onGranted run once if the reservation has to wait and is granted later; never run after a release
     * @return the reservation; null if it is rejected because it can never fit or too many reservations are waiting
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

    /**
     * Whether there is room for responses of this many bytes to pipelined requests; they give way to waiting values.
     */
    public boolean hasPipelinedRoom(long bytes) {
        return waiting.isEmpty() && reserved + bytes <= capacity / PIPELINED_SHARE_DIVISOR;
    }

    /**
     * Reserves memory for the response to a pipelined request, whether or not there is room: it has been asked before.
     */
    public Reservation reservePipelined(int bytes) {
        Reservation reservation = new Reservation(bytes, () -> {});
        grant(reservation);
        return reservation;
    }

    /** Sets what runs whenever memory has been returned and the waiting values have been granted theirs. */
    public void onRelease(Runnable action) {
        onRelease = action;
    }

    /** Returns the largest number of bytes that can be reserved at once. */
    public long maxReservation() {
        return Math.max(limitOfLarge(), Math.min(capacity, SMALL_VALUE_BYTES));
    }

    /** Returns the number of bytes currently reserved. */
    public long reserved() {
        return reserved;
    }

    /** Returns the number of waiting reservations. */
    public int waiting() {
        return waiting.size();
    }

    private long limit(int bytes) {
        return bytes <= SMALL_VALUE_BYTES ? capacity : limitOfLarge();
    }

    private long limitOfLarge() {
        return capacity - capacity / SMALL_VALUE_SHARE_DIVISOR;
    }

    private boolean fits(Reservation reservation) {
        return reserved + reservation.bytes <= limit(reservation.bytes);
    }

    private void grant(Reservation reservation) {
        reservation.granted = true;
        reserved += reservation.bytes;
    }

    /** Grants waiting reservations in order of arrival; a waiting large one does not block small ones behind it. */
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
        onRelease.run();
    }
}

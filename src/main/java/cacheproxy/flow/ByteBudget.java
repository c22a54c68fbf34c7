package cacheproxy.flow;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The room for values that must be kept whole. Whoever finds none waits in line, and its client's sending waits with
 * it. A part is kept for small values, so that a few large ones that are sent slowly do not hold up the many.
 *
 * <p>Room is taken for the whole value before its first byte: taken as it comes, two values that are half there could
 * wait for each other for ever.
 */
public final class ByteBudget {
    /** Values up to this size are small, in bytes. */
    public static final int SMALL = 64 << 10;
    /** The part of all that only small values may use. */
    private static final int SMALL_PART = 4;
    /** How many may wait; the next is turned away. */
    static final int MAX_WAITING = 1024;

    private final long capacity;
    private final ArrayDeque<Ticket> waiting = new ArrayDeque<>();
    private long used;

    /** Room for this many bytes, over 0. */
    public ByteBudget(long capacity) {
        if (capacity <= 0) {
            throw new IllegalArgumentException("room for " + capacity + " bytes");
        }
        this.capacity = capacity;
    }

    /** A claim to room: granted, waiting, or over. */
    public final class Ticket {
        private final int bytes;
        private final Runnable whenGranted;
        private boolean granted;
        private boolean over;

        private Ticket(int bytes, Runnable whenGranted) {
            this.bytes = bytes;
            this.whenGranted = whenGranted;
        }

        /** Whether it has its room. */
        public boolean granted() {
            return granted;
        }

        /** Gives the room back, or leaves the line; once is enough, and more does no harm. */
        public void release() {
            if (over) {
                return;
            }
            over = true;
            if (granted) {
                used -= bytes;
            } else {
                waiting.remove(this);
            }
            serve();
        }
    }

    /**
     * Claims room.
     *
     * @param whenGranted run once if it is not granted at once but later; not for one that is released before
     * @return null if there can be none: it is more than there is in all, or too many wait
     */
    public Ticket claim(int bytes, Runnable whenGranted) {
        if (bytes < 0 || bytes > limit(bytes)) {
            return null;
        }
        Ticket ticket = new Ticket(bytes, whenGranted);
        if (fits(ticket) && (bytes <= SMALL || waiting.isEmpty())) {
            grant(ticket);
        } else if (waiting.size() >= MAX_WAITING) {
            return null;
        } else {
            waiting.add(ticket);
        }
        return ticket;
    }

    /** Bytes that are taken now. */
    public long used() {
        return used;
    }

    /** Claims that wait. */
    public int waiting() {
        return waiting.size();
    }

    private long limit(int bytes) {
        return bytes <= SMALL ? capacity : capacity - capacity / SMALL_PART;
    }

    private boolean fits(Ticket ticket) {
        return used + ticket.bytes <= limit(ticket.bytes);
    }

    private void grant(Ticket ticket) {
        ticket.granted = true;
        used += ticket.bytes;
    }

    /** In the order in which they came; small ones are not held up by a large one before them. */
    private void serve() {
        ArrayDeque<Ticket> now = new ArrayDeque<>();
        boolean largeWaits = false;
        for (Iterator<Ticket> i = waiting.iterator(); i.hasNext(); ) {
            Ticket t = i.next();
            if (fits(t) && (t.bytes <= SMALL || !largeWaits)) {
                i.remove();
                grant(t);
                now.add(t);
            } else {
                largeWaits |= t.bytes > SMALL;
            }
        }
        now.forEach(t -> t.whenGranted.run());
    }
}

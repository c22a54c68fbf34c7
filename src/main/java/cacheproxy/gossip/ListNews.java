package cacheproxy.gossip;

import cacheproxy.membership.Living;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Finds out from peers that discovery has news which this proxy has not been told. A watch that has fallen silent looks
 * like one with nothing to say; each proxy alone learns of it only when the watch's wait is over. Of many proxies some
 * are told in time, so each tells the others the version of the list that it has come to hold: whoever is not told the
 * same soon afterwards asks anew. Discovery tells all in one moment, so each waits for a random part of a time that
 * grows with their number, and has nothing to tell once another has: some two of them tell a version, however many
 * there are.
 *
 * <p>A claim is no news by itself: what the list holds comes from discovery alone. A wrong one costs a call at most,
 * and the next call on account of peers waits twice as long, until discovery has confirmed one. Whether a call is made
 * is for whoever carries the order out: it must not give up one that stands in the line of a discovery that all
 * instances ask.
 */
public final class ListNews {
    /** So long may a watch take to tell what another has told already: a few times what it takes one by one. */
    static final double LAG_MS = 500;
    /**
     * Whoever asks, or tells, does so within this time for each instance: discovery takes calls in turn, and a message
     * takes less than this, so that most learn that a version has been told before their own turn comes.
     */
    static final double TURN_MS = 50;
    /** The longest that these turns take, so that what few were told is passed on soon in a large fleet. */
    static final double MOST_TURNS_MS = 1500;
    /** The longest time between calls on account of peers. */
    static final double LONGEST_MS = 60_000;

    private final SplittableRandom random;
    private int instances;
    /** The versions that peers have told last; who holds one of them has nothing to tell. */
    private final long[] told = new long[16];

    private int tells;
    private long held;
    private long claimed;
    private double tellMs = Double.POSITIVE_INFINITY;
    private double askMs = Double.POSITIVE_INFINITY;
    private double pauseMs = LAG_MS;

    /** What follows from an event. */
    public enum Order {
        /** Nothing. */
        NONE,
        /** Tell all peers the version that is held. */
        TELL,
        /** Call {@link #due} again at {@link #dueMs}. */
        WAIT,
        /** Ask discovery anew. */
        ASK
    }

    /**
     * For one of so many instances, at least 1.
     *
     * @param seed apart from that of other instances, so that they do not ask at once
     */
    public ListNews(int instances, long seed) {
        if (instances < 1) {
            throw new IllegalArgumentException(instances + " instances");
        }
        this.instances = instances;
        random = new SplittableRandom(seed);
    }

    /** So many live now: turns are taken among them, and nobody waits for those who are away. */
    public void among(Living living) {
        instances = living.count();
    }

    /** Discovery has told this proxy that version. */
    public Order held(double nowMs, long version) {
        if (version <= held) {
            return Order.NONE;
        }
        if (claimed > held) {
            pauseMs = LAG_MS; // there was news
        }
        held = version;
        if (claimed <= held) {
            askMs = Double.POSITIVE_INFINITY;
        }
        if (tellMs != Double.POSITIVE_INFINITY || toldAlready() || instances == 1) {
            return Order.NONE;
        }
        tellMs = nowMs + turn();
        return Order.WAIT;
    }

    private double turn() {
        return random.nextDouble() * Math.min(MOST_TURNS_MS, TURN_MS * instances);
    }

    private boolean toldAlready() {
        return Arrays.stream(told).anyMatch(v -> v == held);
    }

    /** The list that this proxy starts with; that it is held is no news to anybody. */
    public void begin(long version) {
        held = Math.max(held, version);
    }

    /** A peer claims to hold that version. */
    public Order heard(double nowMs, long version) {
        told[tells++ % told.length] = version;
        if (version <= held || version <= claimed) {
            return Order.NONE;
        }
        claimed = version;
        if (askMs != Double.POSITIVE_INFINITY) {
            return Order.NONE;
        }
        askMs = nowMs + pauseMs + turn();
        return Order.WAIT;
    }

    /** When to look again, in milliseconds; infinite for never. */
    public double dueMs() {
        return Math.min(tellMs, askMs);
    }

    /**
     * The time has come, or a timer thinks so. What follows is one order; there may be more to come at {@link #dueMs}.
     */
    public Order due(double nowMs) {
        if (nowMs >= tellMs) {
            tellMs = Double.POSITIVE_INFINITY;
            if (!toldAlready()) {
                return Order.TELL;
            }
        }
        if (nowMs >= askMs) { // what was claimed has not been told by now
            askMs = Double.POSITIVE_INFINITY;
            claimed = held; // discovery's answer settles it
            pauseMs = Math.min(LONGEST_MS, pauseMs * 2);
            return Order.ASK;
        }
        return dueMs() == Double.POSITIVE_INFINITY ? Order.NONE : Order.WAIT;
    }
}

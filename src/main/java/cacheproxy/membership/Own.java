package cacheproxy.membership;

import java.util.Arrays;
import java.util.function.BinaryOperator;

/**
 * An instance's own entry. It goes beyond whatever contradicts it: a death or suspicion told of this life, or a former
 * life under its name that others remember and it does not. A former life is told once by each who remembers it; when a
 * name is outbid again and again, another process lives under it, and that mistake is reported.
 */
final class Own {
    /** A name outbid so often in this life is another's, too. */
    static final int OUTBIDS = 4;
    /** From then on it is defended only so often. */
    static final double DISPUTE_MS = 2000;

    private final BinaryOperator<Entry> beyond;
    private Entry entry;
    private int outbids;
    private double defendedMs = Double.NEGATIVE_INFINITY;
    private boolean leaving;

    /** Begins a life in this entry; {@code beyond}: what refutes, of the own entry and what is said of it. */
    Own(Entry entry, BinaryOperator<Entry> beyond) {
        this.entry = entry;
        this.beyond = beyond;
    }

    /** The same, to go its own way. */
    Own copy(BinaryOperator<Entry> others) {
        Own own = new Own(entry, others);
        own.outbids = outbids;
        own.defendedMs = defendedMs;
        own.leaving = leaving;
        return own;
    }

    Entry entry() {
        return entry;
    }

    /** Somebody says this of the instance's own name. Whether the entry had to go beyond it. */
    boolean contradicted(Entry said, double nowMs) {
        int by = said.compareLife(entry);
        boolean another = said.life() != entry.life();
        if (by < 0 || (by == 0 && (said.state().compareTo(entry.state()) <= 0 || leaving))) {
            return false;
        }
        if (said.incarnation() > Entry.MAX_INCARNATION - Table.MOST_AHEAD) {
            return false; // nothing of ours gets there
        }
        if (another && ++outbids >= OUTBIDS && nowMs - defendedMs < DISPUTE_MS) {
            return false;
        }
        defendedMs = nowMs;
        State was = entry.state();
        entry = beyond.apply(entry, said);
        if (leaving) {
            entry = entry.in(was);
        }
        return true;
    }

    /** Whether another process seems to live under this name. */
    boolean disputed() {
        return outbids >= OUTBIDS;
    }

    /** The instance goes for good. */
    void leave() {
        leaving = true;
        entry = entry.in(State.LEFT);
    }

    void phase(Phase phase) {
        if (entry.phase() != phase) {
            entry = entry.saying(phase, entry.notes());
        }
    }

    void note(int part, byte[] bytes) {
        if (!Arrays.equals(entry.note(part), bytes)) {
            entry = entry.noting(part, bytes);
        }
    }
}

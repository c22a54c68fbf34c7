package cacheproxy.membership;

import java.util.Arrays;
import java.util.function.BinaryOperator;

/**
 * An instance's own entry. It goes beyond whatever contradicts it: a death or suspicion told of this life, or a former
 * life under its name that others remember and it does not. A former life is told once by each who remembers it; when a
 * name is outbid again and again, another process lives under it, and that mistake is reported.
 */
final class LocalMember {
    /** A name outbid so often in this life is another's, too. */
    static final int OUTBIDS = 4;
    /** From then on it is defended only so often. */
    static final double DISPUTE_MS = 2000;

    private final BinaryOperator<Member> beyond;
    private Member entry;
    private int outbids;
    private double defendedMs = Double.NEGATIVE_INFINITY;
    private boolean leaving;

    /** Begins a life in this entry; {@code beyond}: what refutes, of the own entry and what is said of it. */
    LocalMember(Member entry, BinaryOperator<Member> beyond) {
        this.entry = entry;
        this.beyond = beyond;
    }

    /** The same, to go its own way. */
    LocalMember copy(BinaryOperator<Member> others) {
        LocalMember own = new LocalMember(entry, others);
        own.outbids = outbids;
        own.defendedMs = defendedMs;
        own.leaving = leaving;
        return own;
    }

    Member entry() {
        return entry;
    }

    /** Somebody says this of the instance's own name. Whether the entry had to go beyond it. */
    boolean contradicted(Member said, double nowMs) {
        int by = said.compareLife(entry);
        boolean another = said.life() != entry.life();
        if (by < 0 || (by == 0 && (said.state().compareTo(entry.state()) <= 0 || leaving))) {
            return false;
        }
        if (said.incarnation() > Member.MAX_INCARNATION - MemberTable.MOST_AHEAD) {
            return false; // nothing of ours gets there
        }
        if (another && ++outbids >= OUTBIDS && nowMs - defendedMs < DISPUTE_MS) {
            return false;
        }
        defendedMs = nowMs;
        MemberState was = entry.state();
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
        entry = entry.in(MemberState.LEFT);
    }

    void phase(ServicePhase phase) {
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

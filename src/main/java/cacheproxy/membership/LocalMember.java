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
    static final int DISPUTE_CONTRADICTIONS = 4;
    /** From then on it is defended only so often. */
    static final double DISPUTE_REFUTE_INTERVAL_MS = 2000;

    private final BinaryOperator<Member> refutation;
    private Member member;
    private int contradictions;
    private double refutedMs = Double.NEGATIVE_INFINITY;
    private boolean leaving;

    /** Begins a life in this entry; {@code refutation}: what refutes, of the own entry and what is said of it. */
    LocalMember(Member entry, BinaryOperator<Member> beyond) {
        this.member = entry;
        this.refutation = beyond;
    }

    /** The same, to go its own way. */
    LocalMember copy(BinaryOperator<Member> others) {
        LocalMember own = new LocalMember(member, others);
        own.contradictions = contradictions;
        own.refutedMs = refutedMs;
        own.leaving = leaving;
        return own;
    }

    Member member() {
        return member;
    }

    /** Somebody says this of the instance's own name. Whether the entry had to go beyond it. */
    boolean refuteIfContradicted(Member said, double nowMs) {
        int by = said.compareIncarnation(member);
        boolean another = said.processNonce() != member.processNonce();
        if (by < 0 || (by == 0 && (said.state().compareTo(member.state()) <= 0 || leaving))) {
            return false;
        }
        if (said.incarnation() > Member.MAX_INCARNATION - MemberTable.MAX_INCARNATION_STEP) {
            return false; // nothing of ours gets there
        }
        if (another && ++contradictions >= DISPUTE_CONTRADICTIONS && nowMs - refutedMs < DISPUTE_REFUTE_INTERVAL_MS) {
            return false;
        }
        refutedMs = nowMs;
        MemberState was = member.state();
        member = refutation.apply(member, said);
        if (leaving) {
            member = member.withState(was);
        }
        return true;
    }

    /** Whether another process seems to live under this name. */
    boolean disputed() {
        return contradictions >= DISPUTE_CONTRADICTIONS;
    }

    /** The instance goes for good. */
    void leave() {
        leaving = true;
        member = member.withState(MemberState.LEFT);
    }

    void phase(ServicePhase phase) {
        if (member.phase() != phase) {
            member = member.withPhaseAndNotes(phase, member.notes());
        }
    }

    void note(int part, byte[] bytes) {
        if (!Arrays.equals(member.note(part), bytes)) {
            member = member.withNote(part, bytes);
        }
    }
}

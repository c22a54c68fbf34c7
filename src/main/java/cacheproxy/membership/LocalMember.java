package cacheproxy.membership;

import java.util.Arrays;
import java.util.function.BinaryOperator;

/**
 * This instance's own entry. It refutes what contradicts it by a higher incarnation: a suspicion or death of this
 * process, or an earlier process under its number that others remember. Each that remembers an earlier process tells so
 * once; when contradictions go on, another process runs under the same number, and that is reported as a dispute.
 */
final class LocalMember {
    /** So many contradictions by another process mean that it is running. */
    static final int DISPUTE_CONTRADICTIONS = 4;
    /** From then on it is refuted no more often than this. */
    static final double DISPUTE_REFUTE_INTERVAL_MS = 2000;

    private final BinaryOperator<Member> refutation;
    private Member member;
    private int contradictions;
    private double refutedMs = Double.NEGATIVE_INFINITY;
    private boolean leaving;

    /** {@code refutation}: the entry that refutes, of the own one and what is said of it. */
    LocalMember(Member member, BinaryOperator<Member> refutation) {
        this.member = member;
        this.refutation = refutation;
    }

    /** A copy that changes independently. */
    LocalMember copy(BinaryOperator<Member> otherRefutation) {
        LocalMember copy = new LocalMember(member, otherRefutation);
        copy.contradictions = contradictions;
        copy.refutedMs = refutedMs;
        copy.leaving = leaving;
        return copy;
    }

    /** The entry as it is now. */
    Member member() {
        return member;
    }

    /** Another says this of this instance; whether it is wrong, and the own entry now refutes it. */
    boolean refuteIfContradicted(Member said, double nowMs) {
        int order = said.compareIncarnation(member);
        boolean anotherProcess = said.processNonce() != member.processNonce();
        if (order < 0 || (order == 0 && (said.state().compareTo(member.state()) <= 0 || leaving))) {
            return false;
        }
        if (said.incarnation() > Member.MAX_INCARNATION - MemberTable.MAX_INCARNATION_STEP) {
            return false; // no incarnation of ours is that high
        }
        if (anotherProcess
                && ++contradictions >= DISPUTE_CONTRADICTIONS
                && nowMs - refutedMs < DISPUTE_REFUTE_INTERVAL_MS) {
            return false;
        }
        refutedMs = nowMs;
        MemberState state = member.state();
        member = refutation.apply(member, said);
        if (leaving) {
            member = member.withState(state);
        }
        return true;
    }

    /** Whether another process seems to run under this number. */
    boolean disputed() {
        return contradictions >= DISPUTE_CONTRADICTIONS;
    }

    /** The instance leaves for good. */
    void leave() {
        leaving = true;
        member = member.withState(MemberState.LEFT);
    }

    /** The phase of the service from now on. */
    void setPhase(ServicePhase phase) {
        if (member.phase() != phase) {
            member = member.withPhaseAndMetadata(phase, member.metadata());
        }
    }

    /** Replaces a part's note; an empty one is removed. */
    void setMetadata(int part, byte[] bytes) {
        if (!Arrays.equals(member.metadata(part), bytes)) {
            member = member.withMetadata(part, bytes);
        }
    }
}

package cacheproxy.membership;

import java.util.Arrays;
import java.util.function.BinaryOperator;

/**
 * The entry of this instance. Contradictions are refuted by a higher incarnation: a suspicion or death of this process,
 * or an earlier process with the same number that others remember. Each instance that remembers an earlier process
 * reports it once; if contradictions continue, another process runs under the same number, which is reported as a
 * dispute.
 */
final class LocalMember {
    /** The number of contradictions by another process from which that process is taken to be running. */
    static final int DISPUTE_CONTRADICTIONS = 4;
    /** The minimum time between two refutations of that process. */
    static final double DISPUTE_REFUTE_INTERVAL_MS = 2000;

    private final BinaryOperator<Member> refutation;
    private Member member;
    private int contradictions;
    private double refutedMs = Double.NEGATIVE_INFINITY;
    private boolean leaving;

    /** {@code refutation}: computes the refuting entry from the own entry and the reported one. */
    LocalMember(Member member, BinaryOperator<Member> refutation) {
        this.member = member;
        this.refutation = refutation;
    }

    /** Creates an independent copy. */
    LocalMember copy(BinaryOperator<Member> otherRefutation) {
        LocalMember copy = new LocalMember(member, otherRefutation);
        copy.contradictions = contradictions;
        copy.refutedMs = refutedMs;
        copy.leaving = leaving;
        return copy;
    }

    /** Returns the current entry. */
    Member member() {
        return member;
    }

    /**
     * Processes another instance's report of this one; returns whether it is wrong and the own entry now refutes it.
     */
    boolean refuteIfContradicted(Member reported, double nowMs) {
        int order = reported.compareIncarnation(member);
        boolean anotherProcess = reported.processNonce() != member.processNonce();
        if (order < 0 || (order == 0 && (reported.state().compareTo(member.state()) <= 0 || leaving))) {
            return false;
        }
        if (reported.incarnation() > Member.MAX_INCARNATION - MemberTable.MAX_INCARNATION_STEP) {
            return false; // this instance never reaches an incarnation that high
        }
        if (anotherProcess
                && ++contradictions >= DISPUTE_CONTRADICTIONS
                && nowMs - refutedMs < DISPUTE_REFUTE_INTERVAL_MS) {
            return false;
        }
        refutedMs = nowMs;
        MemberState state = member.state();
        member = refutation.apply(member, reported);
        if (leaving) {
            member = member.withState(state);
        }
        return true;
    }

    /** Whether another process appears to run under this number. */
    boolean disputed() {
        return contradictions >= DISPUTE_CONTRADICTIONS;
    }

    /** The instance leaves permanently. */
    void leave() {
        leaving = true;
        member = member.withState(MemberState.LEFT);
    }

    /** Sets the phase of the service. */
    void setPhase(ServicePhase phase) {
        if (member.phase() != phase) {
            member = member.withPhaseAndMetadata(phase, member.metadata());
        }
    }

    /** Sets the metadata value of a key; an empty value removes it. */
    void setMetadata(int key, byte[] value) {
        if (!Arrays.equals(member.metadata(key), value)) {
            member = member.withMetadata(key, value);
        }
    }
}

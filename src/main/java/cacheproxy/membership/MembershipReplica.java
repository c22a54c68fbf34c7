package cacheproxy.membership;

import java.util.Collection;

/**
 * What one instance knows of the members, and how that changes by what it receives and detects: all that matters for
 * the convergence of instances, without times, probes and messages. {@link Membership} decides when a member is
 * suspected or declared dead; the model checker ({@code model check}) lets both happen at any time.
 */
public class MembershipReplica {
    /** The outcome of merging what is said of a member. */
    public enum MergeResult {
        /** It was known already. */
        UNCHANGED,
        /** It has changed what is known. */
        CHANGED,
        /** It contradicted this instance, which now refutes it. */
        REFUTED
    }

    private final int capacity;
    private final MemberTable table;
    private final LocalMember localMember;

    /** Begins with this instance alone, and room for so many members. */
    public MembershipReplica(Member self, int capacity) {
        this.capacity = capacity;
        table = new MemberTable(capacity, this::mergeMembers);
        localMember = new LocalMember(self, this::refute);
        table.merge(self);
    }

    /** A copy that changes independently. */
    protected MembershipReplica(MembershipReplica of) {
        capacity = of.capacity;
        table = new MemberTable(capacity, this::mergeMembers);
        of.table.all().forEach(table::merge);
        localMember = of.localMember.copy(this::refute);
    }

    /** The entry that follows from what is known and what is said of a member. */
    protected Member mergeMembers(Member held, Member said) {
        return held.merge(said);
    }

    /** The own entry that refutes what is said of this instance. */
    protected Member refute(Member self, Member said) {
        return self.withIncarnation(Math.max(said.incarnation(), self.incarnation()) + 1);
    }

    /** Merges what another says of a member. */
    public MergeResult merge(double nowMs, Member said) {
        if (said.id() != self().id()) {
            return table.merge(said) == null ? MergeResult.UNCHANGED : MergeResult.CHANGED;
        }
        if (!localMember.refuteIfContradicted(said, nowMs)) {
            return MergeResult.UNCHANGED;
        }
        table.merge(self());
        return MergeResult.REFUTED;
    }

    /** Suspects a member; no effect unless it is live. */
    public void suspect(int id) {
        Member e = table.get(id);
        if (e != null && e.state().isLive()) {
            table.merge(e.suspectedBy(self().id()));
        }
    }

    /** Declares a suspected member dead; no effect unless it is suspected. */
    public void declareDead(int id) {
        Member e = table.get(id);
        if (e != null && e.state() == MemberState.SUSPECT) {
            table.merge(e.withState(MemberState.DEAD));
        }
    }

    /** This instance's own entry. */
    public final Member self() {
        return localMember.member();
    }

    /** What is known of a member; null for nothing. */
    public final Member get(int id) {
        return table.get(id);
    }

    /** All members, by number. */
    public final Collection<Member> all() {
        return table.all();
    }

    /** Equal for instances that know the same. */
    public final int digest() {
        return table.digest();
    }

    MemberTable table() {
        return table;
    }

    LocalMember localMember() {
        return localMember;
    }
}

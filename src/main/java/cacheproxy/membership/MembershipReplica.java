package cacheproxy.membership;

import java.util.Collection;

/**
 * What one instance knows of the members, and how that changes by what it receives and detects: everything that matters
 * for the convergence of instances, without timing, probes and messages. {@link Membership} decides when a member is
 * suspected or declared dead; the model checker ({@code model check}) lets both happen at any time.
 */
public class MembershipReplica {
    /** The outcome of merging what is reported of a member. */
    public enum MergeResult {
        /** The report contained nothing new. */
        UNCHANGED,
        /** The report changed what is known. */
        CHANGED,
        /** The report contradicted this instance, which now refutes it. */
        REFUTED
    }

    private final int capacity;
    private final MemberTable table;
    private final LocalMember localMember;

    /** Starts with this instance alone, and room for {@code capacity} members. */
    public MembershipReplica(Member self, int capacity) {
        this.capacity = capacity;
        table = new MemberTable(capacity, this::mergeMembers);
        localMember = new LocalMember(self, this::refute);
        table.merge(self);
    }

    /** Creates an independent copy. */
    protected MembershipReplica(MembershipReplica of) {
        capacity = of.capacity;
        table = new MemberTable(capacity, this::mergeMembers);
        of.table.all().forEach(table::merge);
        localMember = of.localMember.copy(this::refute);
    }

    /** Returns the entry that results from merging what is known and what is reported of a member. */
    protected Member mergeMembers(Member held, Member reported) {
        return held.merge(reported);
    }

    /** Returns the entry of this instance that refutes a report about it. */
    protected Member refute(Member self, Member reported) {
        return self.withIncarnation(Math.max(reported.incarnation(), self.incarnation()) + 1);
    }

    /** Merges what another instance reports of a member. */
    public MergeResult merge(double nowMs, Member reported) {
        if (reported.id() != self().id()) {
            return table.merge(reported) == null ? MergeResult.UNCHANGED : MergeResult.CHANGED;
        }
        if (!localMember.refuteIfContradicted(reported, nowMs)) {
            return MergeResult.UNCHANGED;
        }
        table.merge(self());
        return MergeResult.REFUTED;
    }

    /** Suspects a member; has no effect unless the member is live. */
    public void suspect(int id) {
        Member e = table.get(id);
        if (e != null && e.state().isLive()) {
            table.merge(e.suspectedBy(self().id()));
        }
    }

    /** Declares a suspected member dead; has no effect unless it is suspected. */
    public void declareDead(int id) {
        Member e = table.get(id);
        if (e != null && e.state() == MemberState.SUSPECT) {
            table.merge(e.withState(MemberState.DEAD));
        }
    }

    /** Returns the entry of this instance. */
    public final Member self() {
        return localMember.member();
    }

    /** Returns what is known of a member; null if nothing is. */
    public final Member get(int id) {
        return table.get(id);
    }

    /** Returns all members, by number. */
    public final Collection<Member> all() {
        return table.all();
    }

    /** Returns a digest that is equal for instances that know the same. */
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

package cacheproxy.membership;

import java.util.Collection;

/**
 * What one instance knows, and how that changes by what it is told and finds: all that matters for two to come to hold
 * the same, without times, probes and messages. {@link Membership} decides with it when something is suspected or given
 * up; the explorer ({@code model check}) lets both happen at any time.
 */
public class Knowledge {
    /** What came of something that was said. */
    public enum MergeResult {
        /** It was known. */
        UNCHANGED,
        /** Something is known that was not. */
        CHANGED,
        /** It spoke against this instance, which has gone beyond it. */
        REFUTED
    }

    private final int most;
    private final MemberTable table;
    private final LocalMember localMember;

    /** A life that begins knowing only itself. */
    public Knowledge(Member self, int most) {
        this.most = most;
        table = new MemberTable(most, this::mergeMembers);
        localMember = new LocalMember(self, this::refute);
        table.merge(self);
    }

    /** The same knowledge, to go its own way. */
    protected Knowledge(Knowledge of) {
        most = of.most;
        table = new MemberTable(most, this::mergeMembers);
        of.table.all().forEach(table::merge);
        localMember = of.localMember.copy(this::refute);
    }

    /** What becomes of what is held and what is said of one instance. */
    protected Member mergeMembers(Member held, Member said) {
        return held.merge(said);
    }

    /** The entry by which this instance goes beyond what is said of it. */
    protected Member refute(Member self, Member said) {
        return self.withIncarnation(Math.max(said.incarnation(), self.incarnation()) + 1);
    }

    /** Takes in what somebody says. */
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

    /** This instance did not reach that one; nothing happens if it is not known to live. */
    public void suspect(int id) {
        Member e = table.get(id);
        if (e != null && e.state().isLive()) {
            table.merge(e.suspectedBy(self().id()));
        }
    }

    /** This instance gives up one that it suspects. */
    public void declareDead(int id) {
        Member e = table.get(id);
        if (e != null && e.state() == MemberState.SUSPECT) {
            table.merge(e.withState(MemberState.DEAD));
        }
    }

    /** What the instance says of itself. */
    public final Member self() {
        return localMember.member();
    }

    /** What is held of an instance, null if nothing is. */
    public final Member get(int id) {
        return table.get(id);
    }

    /** All that is held, by number. */
    public final Collection<Member> all() {
        return table.all();
    }

    /** Alike for all that hold the same. */
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

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
        NOTHING_NEW,
        /** Something is known that was not. */
        NEWS,
        /** It spoke against this instance, which has gone beyond it. */
        REFUTED
    }

    private final int most;
    private final MemberTable table;
    private final LocalMember own;

    /** A life that begins knowing only itself. */
    public Knowledge(Member self, int most) {
        this.most = most;
        table = new MemberTable(most, this::join);
        own = new LocalMember(self, this::beyond);
        table.join(self);
    }

    /** The same knowledge, to go its own way. */
    protected Knowledge(Knowledge of) {
        most = of.most;
        table = new MemberTable(most, this::join);
        of.table.all().forEach(table::join);
        own = of.own.copy(this::beyond);
    }

    /** What becomes of what is held and what is said of one instance. */
    protected Member join(Member held, Member said) {
        return held.join(said);
    }

    /** The entry by which this instance goes beyond what is said of it. */
    protected Member beyond(Member self, Member said) {
        return self.again(Math.max(said.incarnation(), self.incarnation()) + 1);
    }

    /** Takes in what somebody says. */
    public MergeResult take(double nowMs, Member said) {
        if (said.id() != self().id()) {
            return table.join(said) == null ? MergeResult.NOTHING_NEW : MergeResult.NEWS;
        }
        if (!own.contradicted(said, nowMs)) {
            return MergeResult.NOTHING_NEW;
        }
        table.join(self());
        return MergeResult.REFUTED;
    }

    /** This instance did not reach that one; nothing happens if it is not known to live. */
    public void suspect(int id) {
        Member e = table.get(id);
        if (e != null && e.state().lives()) {
            table.join(e.suspectedBy(self().id()));
        }
    }

    /** This instance gives up one that it suspects. */
    public void giveUp(int id) {
        Member e = table.get(id);
        if (e != null && e.state() == MemberState.SUSPECT) {
            table.join(e.in(MemberState.DEAD));
        }
    }

    /** What the instance says of itself. */
    public final Member self() {
        return own.entry();
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

    LocalMember own() {
        return own;
    }
}

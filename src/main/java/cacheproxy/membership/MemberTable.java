package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * What one instance knows of all, by their numbers. Entries only go up in their order. Digests are kept as entries
 * change: one of all, and one for each of {@link #SLICES} slices, by which two that differ find where.
 */
public final class MemberTable {
    /** Into how many slices the entries fall, by their numbers. */
    public static final int SLICES = 32;
    /** No instance refutes so often between two that hear of it; what claims more is no entry of ours. */
    static final long MAX_INCARNATION_STEP = 1 << 20;

    private final int capacity;
    private final BinaryOperator<Member> merger;
    private final TreeMap<Integer, Member> entries = new TreeMap<>();
    private final long[] slices = new long[SLICES];

    /** For so many instances at most, the dead among them. */
    public MemberTable(int most) {
        this(most, Member::merge);
    }

    /** {@code merger}: what becomes of two entries of one instance, the held one first. */
    MemberTable(int most, BinaryOperator<Member> joining) {
        this.merger = joining;
        if (most < 1 || most > Member.MAX_ID + 1) {
            throw new IllegalArgumentException(
                    "a table for " + most + " instances; it takes 1 to " + (Member.MAX_ID + 1));
        }
        this.capacity = most;
    }

    /** The entry of an instance, null if nothing is known of it. */
    public Member get(int id) {
        return entries.get(id);
    }

    /** All entries, by number. */
    public Collection<Member> all() {
        return entries.values();
    }

    /** How many are known. */
    public int size() {
        return entries.size();
    }

    /**
     * Takes in what somebody says of an instance.
     *
     * @return the new entry, or null if that changes nothing or is beyond belief
     */
    @SuppressWarnings("ReferenceEquality") // cheap first: a join gives back what was held where nothing is new
    public Member merge(Member said) {
        Member held = entries.get(said.id());
        if (held == null) {
            if (entries.size() >= capacity && !evictGone()) {
                return null;
            }
            put(said);
            return said;
        }
        if (said.incarnation() > held.incarnation() + MAX_INCARNATION_STEP) {
            return null;
        }
        Member both = merger.apply(held, said);
        if (both == held || both.equals(held)) {
            return null;
        }
        put(both);
        return both;
    }

    private void put(Member entry) {
        Member before = entries.put(entry.id(), entry);
        slices[slice(entry.id())] += entry.hash() - (before == null ? 0 : before.hash());
    }

    /** Lets go of one that is dead or has left; nothing else makes room. */
    private boolean evictGone() {
        for (Member e : entries.values()) {
            if (!e.state().isLive()) {
                remove(e.id());
                return true;
            }
        }
        return false;
    }

    /** Lets go of an instance that the settings do not name and that has been gone for long. */
    void remove(int id) {
        Member gone = entries.remove(id);
        if (gone != null) {
            slices[slice(id)] -= gone.hash();
        }
    }

    /** The slice of an instance's number. */
    public static int slice(int id) {
        return id % SLICES;
    }

    /** Of all entries, alike for tables that hold the same. */
    public int digest() {
        long all = 0;
        for (long s : slices) {
            all += s;
        }
        return fold(all);
    }

    /** Of one slice's, in 16 bits. */
    public int digest(int slice) {
        int d = fold(slices[slice]);
        return (d ^ d >>> 16) & 0xffff;
    }

    private static int fold(long sum) {
        long h = Member.mix(sum);
        return (int) (h ^ h >>> 32);
    }

    /** The entries of a slice, by number. */
    public List<Member> inSlice(int slice) {
        List<Member> some = new ArrayList<>();
        entries.values().forEach(e -> {
            if (slice(e.id()) == slice) {
                some.add(e);
            }
        });
        return some;
    }
}

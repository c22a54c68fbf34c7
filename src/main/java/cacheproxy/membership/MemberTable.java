package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * The members by their numbers. An entry only goes up in the order of {@link Member#merge}. Digests are maintained as
 * entries change: one of all, and one of each of {@link #SLICES} slices, by which two instances find where they differ.
 */
public final class MemberTable {
    /** The number of slices; a member belongs to one by its number. */
    public static final int SLICES = 32;
    /** No member raises its incarnation so far between two messages; what claims more is ignored. */
    static final long MAX_INCARNATION_STEP = 1 << 20;

    private final int capacity;
    private final BinaryOperator<Member> merger;
    private final TreeMap<Integer, Member> entries = new TreeMap<>();
    private final long[] slices = new long[SLICES];

    /** For so many members at most, the dead among them. */
    public MemberTable(int capacity) {
        this(capacity, Member::merge);
    }

    /** {@code merger}: merges two entries of one member, the known one first. */
    MemberTable(int capacity, BinaryOperator<Member> merger) {
        this.merger = merger;
        if (capacity < 1 || capacity > Member.MAX_ID + 1) {
            throw new IllegalArgumentException(
                    "a table for " + capacity + " instances; it takes 1 to " + (Member.MAX_ID + 1));
        }
        this.capacity = capacity;
    }

    /** What is known of a member; null for nothing. */
    public Member get(int id) {
        return entries.get(id);
    }

    /** All members, by number. */
    public Collection<Member> all() {
        return entries.values();
    }

    /** How many members are known. */
    public int size() {
        return entries.size();
    }

    /**
     * Merges what is reported of a member.
     *
     * @return the new entry; null if nothing has changed, as it is known, implausible, or there is no room
     */
    @SuppressWarnings("ReferenceEquality") // cheap first: a merge returns the known entry where nothing is new
    public Member merge(Member reported) {
        Member known = entries.get(reported.id());
        if (known == null) {
            if (entries.size() >= capacity && !evictDead()) {
                return null;
            }
            put(reported);
            return reported;
        }
        if (reported.incarnation() > known.incarnation() + MAX_INCARNATION_STEP) {
            return null;
        }
        Member merged = merger.apply(known, reported);
        if (merged == known || merged.equals(known)) {
            return null;
        }
        put(merged);
        return merged;
    }

    private void put(Member entry) {
        Member before = entries.put(entry.id(), entry);
        slices[slice(entry.id())] += entry.hash() - (before == null ? 0 : before.hash());
    }

    /** Removes one that is dead or has left; whether there was any. */
    private boolean evictDead() {
        for (Member e : entries.values()) {
            if (!e.state().isLive()) {
                remove(e.id());
                return true;
            }
        }
        return false;
    }

    /** Removes a member. */
    void remove(int id) {
        Member removed = entries.remove(id);
        if (removed != null) {
            slices[slice(id)] -= removed.hash();
        }
    }

    /** The slice of a member's number. */
    public static int slice(int id) {
        return id % SLICES;
    }

    /** The digest of all members; equal for tables that hold the same. */
    public int digest() {
        long all = 0;
        for (long s : slices) {
            all += s;
        }
        return fold(all);
    }

    /** The digest of one slice, 16 bits. */
    public int digest(int slice) {
        int d = fold(slices[slice]);
        return (d ^ d >>> 16) & 0xffff;
    }

    private static int fold(long sum) {
        long h = Member.mix(sum);
        return (int) (h ^ h >>> 32);
    }

    /** The members of a slice, by number. */
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

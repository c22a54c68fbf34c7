package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * The members by number. An entry only increases in the order of {@link Member#merge}. Digests are maintained as
 * entries change: one of all members, and one of each of {@link #SLICES} slices, by which two instances find where
 * their tables differ.
 */
public final class MemberTable {
    /** The number of slices; the number of a member determines its slice. */
    public static final int SLICES = 32;
    /** The maximum increase of an incarnation between two messages; entries with a larger increase are ignored. */
    static final long MAX_INCARNATION_STEP = 1 << 20;

    private final int capacity;
    private final BinaryOperator<Member> merger;
    private final TreeMap<Integer, Member> entries = new TreeMap<>();
    private final long[] slices = new long[SLICES];

    /** Creates a table for at most {@code capacity} members, including dead ones. */
    public MemberTable(int capacity) {
        this(capacity, Member::merge);
    }

    /** {@code merger}: merges two entries of one member, of which the first is the known one. */
    MemberTable(int capacity, BinaryOperator<Member> merger) {
        this.merger = merger;
        if (capacity < 1 || capacity > Member.MAX_ID + 1) {
            throw new IllegalArgumentException(
                    "member table capacity " + capacity + ", expected 1 to " + (Member.MAX_ID + 1));
        }
        this.capacity = capacity;
    }

    /** Returns what is known of a member; null if nothing is. */
    public Member get(int id) {
        return entries.get(id);
    }

    /** Returns all members, by number. */
    public Collection<Member> all() {
        return entries.values();
    }

    /** Returns the number of known members. */
    public int size() {
        return entries.size();
    }

    /**
     * Merges what is reported of a member.
     *
     * @return the new entry; null if nothing has changed because the report is known or implausible, or there is no
     *     room
     */
    @SuppressWarnings("ReferenceEquality") // cheap check first: merge returns the known entry if nothing is new
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

    /** Removes a member that is dead or has left; returns whether there was one. */
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

    /** Returns the slice of a member's number. */
    public static int slice(int id) {
        return id % SLICES;
    }

    /** Returns the digest of all members; equal for tables with the same members. */
    public int digest() {
        long all = 0;
        for (long s : slices) {
            all += s;
        }
        return fold(all);
    }

    /** Returns the digest of one slice, 16 bits. */
    public int digest(int slice) {
        int d = fold(slices[slice]);
        return (d ^ d >>> 16) & 0xffff;
    }

    private static int fold(long sum) {
        long h = Member.mix(sum);
        return (int) (h ^ h >>> 32);
    }

    /** Returns the members of a slice, by number. */
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

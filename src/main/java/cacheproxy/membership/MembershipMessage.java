package cacheproxy.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A message of the membership protocol, as {@code docs/design/members-wire.md} lays it out. Whatever its kind, it holds
 * the sender's own entry and as many others as there is room for.
 *
 * @param kind what it is
 * @param number of the probe that it belongs to, 0 to 65,535
 * @param target the member that a helper is to ping, or that has answered it; {@link #NO_MEMBER} otherwise
 * @param digest of all members that the sender knows
 * @param sliceDigests digests of the sender's slices in a {@link Kind#DIGESTS}; empty otherwise
 * @param members the sender's own first
 */
public record MembershipMessage(
        Kind kind, int number, int target, int digest, int[] sliceDigests, List<Member> members) {
    /** The number of no member. */
    public static final int NO_MEMBER = 0xffff;

    private static final int HEAD_BYTES = 1 + 1 + 2 + 2 + 4;
    private static final int SLICE_BYTES = 2 * MemberTable.SLICES;
    private static final int ADDRESS = 0x10;
    private static final int NOTES = 0x20;
    private static final int CONFIRMERS = 0x40;

    /** The kinds. */
    public enum Kind {
        /** Asks for an {@link #ACK}. */
        PING(0),
        /** The sender is alive, or its probe of {@code target} was answered. */
        ACK(1),
        /** Asks the receiver to ping {@code target} for the sender. */
        PING_REQUEST(2),
        /** Changes; needs no answer. */
        GOSSIP(3),
        /** The sender's digests by slice; asks for the members of slices that differ. */
        DIGESTS(4),
        /** Members of slices that differ; needs no answer. */
        MEMBERS(5);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** Its code on the wire. */
        int code() {
            return code;
        }

        /** The kind of that code; null if it is unknown. */
        static Kind of(int code) {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            return null;
        }
    }

    /** The sender's own entry. */
    Member sender() {
        return members.get(0);
    }

    // ---- to bytes

    /** The bytes of a message without members. */
    static int headBytes(Kind kind) {
        return HEAD_BYTES + (kind == Kind.DIGESTS ? SLICE_BYTES : 0);
    }

    /** The bytes of a member. */
    static int bytes(Member e) {
        int n = 1 + 2 + varint(e.zone()) + varint(e.incarnation()) + 2 + varint(e.version());
        n += e.address().length;
        if (!e.confirmers().isEmpty()) {
            n += 1 + 2 * e.confirmers().size();
        }
        if (!e.metadata().isEmpty()) {
            n++;
            for (byte[] note : e.metadata().values()) {
                n += 1 + note.length;
            }
        }
        return n;
    }

    /** The bytes of this message. */
    public byte[] encode() {
        int size = headBytes(kind)
                + members.stream().mapToInt(MembershipMessage::bytes).sum();
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put((byte) kind.code())
                .put((byte) members.size())
                .putShort((short) number)
                .putShort((short) target)
                .putInt(digest);
        if (kind == Kind.DIGESTS) {
            for (int s : sliceDigests) {
                out.putShort((short) s);
            }
        }
        members.forEach(e -> encode(e, out));
        return out.array();
    }

    private static void encode(Member e, ByteBuffer out) {
        out.put((byte) (e.state().code()
                | e.phase().code() << 2
                | (e.address().length > 0 ? ADDRESS : 0)
                | (e.metadata().isEmpty() ? 0 : NOTES)
                | (e.confirmers().isEmpty() ? 0 : CONFIRMERS)));
        out.putShort((short) e.id());
        putVarint(out, e.zone());
        putVarint(out, e.incarnation());
        out.putShort((short) e.processNonce());
        putVarint(out, e.version());
        out.put(e.address());
        if (!e.confirmers().isEmpty()) {
            out.put((byte) e.confirmers().size());
            e.confirmers().forEach(c -> out.putShort(c.shortValue()));
        }
        if (!e.metadata().isEmpty()) {
            out.put((byte) e.metadata().size());
            e.metadata()
                    .forEach((part, bytes) ->
                            out.put((byte) (part << 5 | bytes.length)).put(bytes));
        }
    }

    private static int varint(long value) {
        int n = 1;
        for (long v = value >>> 7; v != 0; v >>>= 7) {
            n++;
        }
        return n;
    }

    private static void putVarint(ByteBuffer out, long value) {
        long v = value;
        while (v >= 0x80) {
            out.put((byte) (v | 0x80));
            v >>>= 7;
        }
        out.put((byte) v);
    }

    // ---- from bytes

    /** The message of these bytes; null if they are none, cut short, or longer than they say. */
    public static MembershipMessage decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEAD_BYTES) {
            return null;
        }
        Kind kind = Kind.of(in.get());
        int many = in.get() & 0xff;
        if (kind == null || bytes.length < headBytes(kind)) {
            return null;
        }
        int number = in.getShort() & 0xffff;
        int target = in.getShort() & 0xffff;
        int digest = in.getInt();
        int[] slices = new int[kind == Kind.DIGESTS ? MemberTable.SLICES : 0];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = in.getShort() & 0xffff;
        }
        List<Member> entries = new ArrayList<>(many);
        try {
            for (int i = 0; i < many; i++) {
                entries.add(entry(in));
            }
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
        return in.hasRemaining() || many == 0
                ? null
                : new MembershipMessage(kind, number, target, digest, slices, entries);
    }

    private static Member entry(ByteBuffer in) {
        int flags = in.get();
        int id = in.getShort() & 0xffff;
        long zone = getVarint(in);
        long incarnation = getVarint(in);
        int life = in.getShort() & 0xffff;
        long version = getVarint(in);
        byte[] address = new byte[(flags & ADDRESS) != 0 ? 6 : 0];
        in.get(address);
        TreeSet<Integer> confirmers = new TreeSet<>();
        for (int n = (flags & CONFIRMERS) != 0 ? in.get() & 0xff : 0; n > 0; n--) {
            confirmers.add(in.getShort() & 0xffff);
        }
        Map<Integer, byte[]> notes = new HashMap<>();
        for (int n = (flags & NOTES) != 0 ? in.get() & 0xff : 0; n > 0; n--) {
            int head = in.get() & 0xff;
            byte[] note = new byte[head & 0x1f];
            in.get(note);
            notes.put(head >> 5, note);
        }
        if (flags < 0 || zone > Member.MAX_ZONE || version > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("a member with unknown flags, or values out of range");
        }
        return new Member(
                id,
                incarnation,
                life,
                MemberState.of(flags & 3),
                confirmers,
                (int) zone,
                (int) version,
                ServicePhase.of(flags >> 2 & 3),
                Map.copyOf(notes),
                address);
    }

    private static long getVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            byte b = in.get();
            value |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("a number of more than nine bytes");
    }
}

package cacheproxy.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A message of the membership protocol, in the format of {@code docs/design/members-wire.md}. A message of any kind
 * contains the sender's own entry and as many others as fit.
 *
 * @param kind the kind of message
 * @param number the number of the probe it belongs to, 0 to 65,535
 * @param target the member that a helper has to ping, or that has answered the helper; {@link #NO_MEMBER} otherwise
 * @param digest the digest of all members that the sender knows
 * @param sliceDigests the digests of the sender's slices in a {@link Kind#DIGESTS}; empty otherwise
 * @param members the sender's own entry first
 */
public record MembershipMessage(
        Kind kind, int number, int target, int digest, int[] sliceDigests, List<Member> members) {
    /** The number that stands for no member. */
    public static final int NO_MEMBER = 0xffff;

    private static final int HEADER_BYTES = 1 + 1 + 2 + 2 + 4;
    private static final int SLICE_BYTES = 2 * MemberTable.SLICES;
    private static final int ADDRESS_FLAG = 0x10;
    private static final int METADATA_FLAG = 0x20;
    private static final int CONFIRMERS_FLAG = 0x40;

    /** The kinds of message. */
    public enum Kind {
        /** Requests an {@link #ACK}. */
        PING(0),
        /** The sender is alive, or its probe of {@code target} was answered. */
        ACK(1),
        /** Requests that the receiver pings {@code target} for the sender. */
        PING_REQUEST(2),
        /** Contains changes; needs no answer. */
        GOSSIP(3),
        /** Contains the sender's digests by slice; requests the members of slices that differ. */
        DIGESTS(4),
        /** Contains members of slices that differ; needs no answer. */
        MEMBERS(5);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** Returns the code on the wire. */
        int code() {
            return code;
        }

        /** Returns the kind with this code; null if it is unknown. */
        static Kind of(int code) {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            return null;
        }
    }

    /** Returns the sender's own entry. */
    Member sender() {
        return members.get(0);
    }

    // ---- encoding

    /** Returns the size of a message without members, in bytes. */
    static int headerBytes(Kind kind) {
        return HEADER_BYTES + (kind == Kind.DIGESTS ? SLICE_BYTES : 0);
    }

    /** Returns the size of an encoded member, in bytes. */
    static int memberBytes(Member e) {
        int n = 1 + 2 + varintBytes(e.zone()) + varintBytes(e.incarnation()) + 2 + varintBytes(e.version());
        n += e.address().length;
        if (!e.confirmers().isEmpty()) {
            n += 1 + 2 * e.confirmers().size();
        }
        if (!e.metadata().isEmpty()) {
            n++;
            for (byte[] value : e.metadata().values()) {
                n += 1 + value.length;
            }
        }
        return n;
    }

    /** Encodes this message. */
    public byte[] encode() {
        int size = headerBytes(kind)
                + members.stream().mapToInt(MembershipMessage::memberBytes).sum();
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
                | (e.address().length > 0 ? ADDRESS_FLAG : 0)
                | (e.metadata().isEmpty() ? 0 : METADATA_FLAG)
                | (e.confirmers().isEmpty() ? 0 : CONFIRMERS_FLAG)));
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
                    .forEach((key, value) ->
                            out.put((byte) (key << 5 | value.length)).put(value));
        }
    }

    private static int varintBytes(long value) {
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

    // ---- decoding

    /** Decodes a message; returns null if it is malformed, truncated, or followed by further bytes. */
    public static MembershipMessage decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES) {
            return null;
        }
        Kind kind = Kind.of(in.get());
        int count = in.get() & 0xff;
        if (kind == null || bytes.length < headerBytes(kind)) {
            return null;
        }
        int number = in.getShort() & 0xffff;
        int target = in.getShort() & 0xffff;
        int digest = in.getInt();
        int[] slices = new int[kind == Kind.DIGESTS ? MemberTable.SLICES : 0];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = in.getShort() & 0xffff;
        }
        List<Member> decoded = new ArrayList<>(count);
        try {
            for (int i = 0; i < count; i++) {
                decoded.add(decodeMember(in));
            }
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
        return in.hasRemaining() || count == 0
                ? null
                : new MembershipMessage(kind, number, target, digest, slices, decoded);
    }

    private static Member decodeMember(ByteBuffer in) {
        int flags = in.get();
        int id = in.getShort() & 0xffff;
        long zone = getVarint(in);
        long incarnation = getVarint(in);
        int processNonce = in.getShort() & 0xffff;
        long version = getVarint(in);
        byte[] address = new byte[(flags & ADDRESS_FLAG) != 0 ? 6 : 0];
        in.get(address);
        TreeSet<Integer> confirmers = new TreeSet<>();
        for (int n = (flags & CONFIRMERS_FLAG) != 0 ? in.get() & 0xff : 0; n > 0; n--) {
            confirmers.add(in.getShort() & 0xffff);
        }
        Map<Integer, byte[]> metadata = new HashMap<>();
        for (int n = (flags & METADATA_FLAG) != 0 ? in.get() & 0xff : 0; n > 0; n--) {
            int header = in.get() & 0xff;
            byte[] value = new byte[header & 0x1f];
            in.get(value);
            metadata.put(header >> 5, value);
        }
        if (flags < 0 || zone > Member.MAX_ZONE || version > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("member entry has unknown flags or values out of range");
        }
        return new Member(
                id,
                incarnation,
                processNonce,
                MemberState.of(flags & 3),
                confirmers,
                (int) zone,
                (int) version,
                ServicePhase.of(flags >> 2 & 3),
                Map.copyOf(metadata),
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
        throw new IllegalArgumentException("varint is longer than nine bytes");
    }
}

package cacheproxy.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The codec of the datagrams between proxies ({@code docs/design/members-wire.md}):
 *
 * <pre>
 * 1        0xE1
 * for each item:
 * 1        kind * 8 + version
 * 1        length of the body
 * length   body
 * then:
 * 2        checksum: CRC-32C of all preceding bytes, its upper half XORed with its lower half
 * </pre>
 *
 * <p>A receiver skips items of unknown kinds and versions.
 */
public final class Envelope {
    /** The maximum size of a datagram in this protocol, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    private static final byte MAGIC = (byte) 0xe1;
    private static final int CHECKSUM_BYTES = 2;
    private static final int VERSIONS = 8;
    private static final int KINDS = 32;
    /** The size of an item without its body, in bytes. */
    public static final int ITEM_HEADER_BYTES = 2;
    /** The maximum size of a body, in a datagram with one item. */
    public static final int MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - 1 - CHECKSUM_BYTES - ITEM_HEADER_BYTES;

    /**
     * One item of a datagram.
     *
     * @param kind 1 to 31
     * @param version the version of the body's format, 0 to 7
     * @param body at most {@link #MAX_BODY_BYTES} bytes
     */
    public record Item(int kind, int version, byte[] body) {
        /** Checks the ranges; throws an IllegalArgumentException if one is violated. */
        public Item {
            if (kind < 1 || kind >= KINDS || version < 0 || version >= VERSIONS || body.length > MAX_BODY_BYTES) {
                throw new IllegalArgumentException("item of kind " + kind + ", version " + version + " and "
                        + body.length + " bytes; expected kind 1 to " + (KINDS - 1) + ", version 0 to "
                        + (VERSIONS - 1) + ", at most " + MAX_BODY_BYTES + " bytes");
            }
        }

        /** Returns the size of the item in a datagram, in bytes. */
        public int size() {
            return ITEM_HEADER_BYTES + body.length;
        }
    }

    private Envelope() {}

    /** Returns the size of a datagram that contains one item with a body of this length, in bytes. */
    public static int datagramBytes(int bodyLength) {
        return 1 + ITEM_HEADER_BYTES + bodyLength + CHECKSUM_BYTES;
    }

    /** Encodes items as a datagram; throws an IllegalArgumentException if they do not fit into one. */
    public static byte[] encode(List<Item> items) {
        int size = 1 + CHECKSUM_BYTES + items.stream().mapToInt(Item::size).sum();
        if (size > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    "datagram of " + size + " bytes; expected at most " + MAX_DATAGRAM_BYTES);
        }
        ByteBuffer out = ByteBuffer.allocate(size).put(MAGIC);
        for (Item item : items) {
            out.put((byte) (item.kind() * VERSIONS | item.version()));
            out.put((byte) item.body().length);
            out.put(item.body());
        }
        return out.putShort(checksum(out.array(), size - CHECKSUM_BYTES)).array();
    }

    /** Decodes a datagram; returns no items if its format is unknown, or if it is truncated or corrupted. */
    public static List<Item> decode(byte[] datagram) {
        int end = datagram.length - CHECKSUM_BYTES;
        if (end < 1
                || datagram.length > MAX_DATAGRAM_BYTES
                || datagram[0] != MAGIC
                || ByteBuffer.wrap(datagram).getShort(end) != checksum(datagram, end)) {
            return List.of();
        }
        List<Item> items = new ArrayList<>();
        for (int at = 1; at < end; ) {
            int header = datagram[at] & 0xff;
            int length = at + 1 < end ? datagram[at + 1] & 0xff : MAX_DATAGRAM_BYTES;
            int bodyAt = at + ITEM_HEADER_BYTES;
            if (bodyAt + length > end || header < VERSIONS || length > MAX_BODY_BYTES) {
                return List.of();
            }
            byte[] body = Arrays.copyOfRange(datagram, bodyAt, bodyAt + length);
            items.add(new Item(header / VERSIONS, header % VERSIONS, body));
            at = bodyAt + length;
        }
        return items;
    }

    private static short checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (short) (crc.getValue() ^ crc.getValue() >>> 16);
    }
}

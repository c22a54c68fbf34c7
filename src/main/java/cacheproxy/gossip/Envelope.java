package cacheproxy.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A datagram between proxies: items of several kinds, each with its kind, the version of its form and its length, and a
 * checksum behind them all. Who does not know a kind, or that version of it, skips the item. The form stands in
 * {@code docs/design/members-wire.md}.
 */
public final class Envelope {
    /** What the protocol allows a datagram, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    private static final byte MAGIC = (byte) 0xe1;
    private static final int CHECKSUM_BYTES = 2;
    /** What an item takes beside its body. */
    public static final int ITEM_HEADER_BYTES = 2;
    /** The most that the one item of a datagram may hold. */
    public static final int MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - 1 - CHECKSUM_BYTES - ITEM_HEADER_BYTES;

    private static final int VERSIONS = 8;

    /**
     * One item.
     *
     * @param kind 1 to 31
     * @param version of its form, 0 to 7
     * @param body {@link #MAX_BODY_BYTES} bytes at most
     */
    public record Item(int kind, int version, byte[] body) {
        /** Checks the ranges. */
        public Item {
            if (kind < 1 || kind > 31 || version < 0 || version >= VERSIONS || body.length > MAX_BODY_BYTES) {
                throw new IllegalArgumentException(
                        "an item of kind " + kind + ", version " + version + " and " + body.length + " bytes");
            }
        }

        /** What it takes in a datagram, in bytes. */
        public int size() {
            return ITEM_HEADER_BYTES + body.length;
        }
    }

    private Envelope() {}

    /** The bytes of a datagram that holds one item with such a body. */
    public static int datagramBytes(int body) {
        return 1 + ITEM_HEADER_BYTES + body + CHECKSUM_BYTES;
    }

    /** The datagram of these items; an IllegalArgumentException if they do not fit. */
    public static byte[] encode(List<Item> items) {
        int size = 1 + CHECKSUM_BYTES + items.stream().mapToInt(Item::size).sum();
        if (size > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(size + " bytes; a datagram holds " + MAX_DATAGRAM_BYTES);
        }
        ByteBuffer out = ByteBuffer.allocate(size).put(MAGIC);
        items.forEach(i -> out.put((byte) (i.kind() * VERSIONS | i.version()))
                .put((byte) i.body().length)
                .put(i.body()));
        return out.putShort(checksum(out.array(), size - CHECKSUM_BYTES)).array();
    }

    /** The items of a datagram; none if it is not one of these, cut short or changed on its way. */
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
            int head = datagram[at] & 0xff;
            int length = at + 1 < end ? datagram[at + 1] & 0xff : MAX_DATAGRAM_BYTES;
            if (at + ITEM_HEADER_BYTES + length > end || head < VERSIONS || length > MAX_BODY_BYTES) {
                return List.of();
            }
            items.add(new Item(
                    head / VERSIONS,
                    head % VERSIONS,
                    Arrays.copyOfRange(datagram, at + ITEM_HEADER_BYTES, at + ITEM_HEADER_BYTES + length)));
            at += ITEM_HEADER_BYTES + length;
        }
        return items;
    }

    private static short checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (short) (crc.getValue() ^ crc.getValue() >>> 16);
    }
}

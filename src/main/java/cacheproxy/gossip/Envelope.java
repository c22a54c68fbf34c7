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
    public static final int MOST_BYTES = 256;

    private static final byte MARK = (byte) 0xe1;
    private static final int SUM_BYTES = 2;
    /** What an item takes beside its body. */
    public static final int ITEM_BYTES = 2;
    /** The most that the one item of a datagram may hold. */
    public static final int MOST_BODY = MOST_BYTES - 1 - SUM_BYTES - ITEM_BYTES;

    private static final int VERSIONS = 8;

    /**
     * One item.
     *
     * @param kind 1 to 31
     * @param version of its form, 0 to 7
     * @param body {@link #MOST_BODY} bytes at most
     */
    public record Item(int kind, int version, byte[] body) {
        /** Checks the ranges. */
        public Item {
            if (kind < 1 || kind > 31 || version < 0 || version >= VERSIONS || body.length > MOST_BODY) {
                throw new IllegalArgumentException(
                        "an item of kind " + kind + ", version " + version + " and " + body.length + " bytes");
            }
        }

        /** What it takes in a datagram, in bytes. */
        public int bytes() {
            return ITEM_BYTES + body.length;
        }
    }

    private Envelope() {}

    /** The bytes of a datagram that holds one item with such a body. */
    public static int bytes(int body) {
        return 1 + ITEM_BYTES + body + SUM_BYTES;
    }

    /** The datagram of these items; an IllegalArgumentException if they do not fit. */
    public static byte[] seal(List<Item> items) {
        int size = 1 + SUM_BYTES + items.stream().mapToInt(Item::bytes).sum();
        if (size > MOST_BYTES) {
            throw new IllegalArgumentException(size + " bytes; a datagram holds " + MOST_BYTES);
        }
        ByteBuffer out = ByteBuffer.allocate(size).put(MARK);
        items.forEach(i -> out.put((byte) (i.kind() * VERSIONS | i.version()))
                .put((byte) i.body().length)
                .put(i.body()));
        return out.putShort(sum(out.array(), size - SUM_BYTES)).array();
    }

    /** The items of a datagram; none if it is not one of these, cut short or changed on its way. */
    public static List<Item> open(byte[] datagram) {
        int end = datagram.length - SUM_BYTES;
        if (end < 1
                || datagram.length > MOST_BYTES
                || datagram[0] != MARK
                || ByteBuffer.wrap(datagram).getShort(end) != sum(datagram, end)) {
            return List.of();
        }
        List<Item> items = new ArrayList<>();
        for (int at = 1; at < end; ) {
            int head = datagram[at] & 0xff;
            int length = at + 1 < end ? datagram[at + 1] & 0xff : MOST_BYTES;
            if (at + ITEM_BYTES + length > end || head < VERSIONS || length > MOST_BODY) {
                return List.of();
            }
            items.add(new Item(
                    head / VERSIONS,
                    head % VERSIONS,
                    Arrays.copyOfRange(datagram, at + ITEM_BYTES, at + ITEM_BYTES + length)));
            at += ITEM_BYTES + length;
        }
        return items;
    }

    private static short sum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (short) (crc.getValue() ^ crc.getValue() >>> 16);
    }
}

package cacheproxy.route;

import java.util.Collection;

/**
 * Finds the longest literal prefix of a key that a table of routes has. The prefixes are stored in one hash table with
 * open addressing; those of a key are looked up, at the lengths that exist, while the key is hashed from left to right.
 * The time depends on the key's length and not on the number of prefixes; nothing is allocated. A trie would access
 * three times as many memory locations.
 */
final class PrefixIndex {
    /** FNV-1a with 64 bits, over characters. */
    private static final long HASH_OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long HASH_PRIME = 0x100000001b3L;
    private static final long SLOT_FACTOR = 0x9e3779b97f4a7c15L;
    private static final long FILTER_FACTOR = 0xbf58476d1ce4e5b9L;
    private static final int SLOT_SHIFT = 40;
    private static final int FILTER_SHIFT = 32;
    private static final int MIN_CAPACITY = 8;
    /** Slots for each prefix, before rounding down to a power of two. */
    private static final int SLOTS_PER_PREFIX = 4;
    /** Bits of the filter for every {@link #SLOTS_PER_PREFIX} slots. */
    private static final int FILTER_BITS = 16;

    /** The lengths of the prefixes, the shortest first. */
    private final int[] lengths;
    /** The hashes of the prefixes, by slot. */
    private final long[] hashes;

    private final PrefixNode[] nodes;
    /** All prefixes, each followed by a 0, so that a comparison reads one memory location instead of three. */
    private final char[] characters;
    /** A bit for each hash; rules out most strings that are no prefix before any slot is read. */
    private final long[] filter;

    PrefixIndex(Collection<PrefixNode> prefixes, int[] lengths) {
        this.lengths = lengths;
        int capacity = Integer.highestOneBit(Math.max(MIN_CAPACITY, prefixes.size() * SLOTS_PER_PREFIX));
        hashes = new long[capacity];
        nodes = new PrefixNode[capacity];
        filter = new long[Math.max(1, capacity / SLOTS_PER_PREFIX * FILTER_BITS / Long.SIZE)];
        characters =
                new char[prefixes.stream().mapToInt(node -> node.length() + 1).sum()];
        int offset = 0;
        for (PrefixNode node : prefixes) {
            node.setCharactersOffset(offset);
            node.prefix().getChars(0, node.length(), characters, offset);
            offset += node.length() + 1;
            add(node);
        }
    }

    private void add(PrefixNode node) {
        int slot = firstSlot(node.hash());
        while (nodes[slot] != null) {
            slot = nextSlot(slot);
        }
        hashes[slot] = node.hash();
        nodes[slot] = node;
        int bit = filterBit(node.hash());
        filter[bit / Long.SIZE] |= 1L << bit;
    }

    /** The node of the longest prefix of a key; null if none is. */
    PrefixNode findLongest(CharSequence key) {
        PrefixNode longest = null;
        long hash = HASH_OFFSET_BASIS;
        int hashed = 0;
        for (int length : lengths) {
            if (length > key.length()) {
                break;
            }
            while (hashed < length) {
                hash = hashStep(hash, key.charAt(hashed++));
            }
            PrefixNode found = find(hash, key, length);
            if (found != null) {
                longest = found;
            }
        }
        return longest;
    }

    private PrefixNode find(long hash, CharSequence key, int length) {
        int bit = filterBit(hash);
        if ((filter[bit / Long.SIZE] >>> bit & 1) == 0) {
            return null;
        }
        // A free slot has the hash 0; an occupied one may have it, too.
        for (int slot = firstSlot(hash); hashes[slot] != 0 || nodes[slot] != null; slot = nextSlot(slot)) {
            if (hashes[slot] == hash && isPrefix(nodes[slot], key, length)) {
                return nodes[slot];
            }
        }
        return null;
    }

    /** Whether the node's prefix has this length, and the key starts with it. */
    private boolean isPrefix(PrefixNode node, CharSequence key, int length) {
        int offset = node.charactersOffset();
        for (int i = 0; i < length; i++) {
            if (characters[offset + i] != key.charAt(i)) {
                return false;
            }
        }
        return characters[offset + length] == 0;
    }

    static long hash(String text) {
        long hash = HASH_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = hashStep(hash, text.charAt(i));
        }
        return hash;
    }

    private static long hashStep(long hash, char next) {
        return (hash ^ next) * HASH_PRIME;
    }

    private int firstSlot(long hash) {
        return (int) ((hash * SLOT_FACTOR) >>> SLOT_SHIFT) & nodes.length - 1;
    }

    private int nextSlot(int slot) {
        return slot + 1 & nodes.length - 1;
    }

    private int filterBit(long hash) {
        return (int) ((hash * FILTER_FACTOR) >>> FILTER_SHIFT) & nodes.length / SLOTS_PER_PREFIX * FILTER_BITS - 1;
    }
}

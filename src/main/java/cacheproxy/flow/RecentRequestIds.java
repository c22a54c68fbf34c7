package cacheproxy.flow;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Set;

/**
 * Remembers the ids of recently ended requests, to detect reuse of an id. Every request must have a new id. If a
 * request with a reused id were accepted, there would be two responses to one id, and servers still working on the
 * first request would treat the second as a repeat of it. Bounded in time and number; the oldest ids are evicted first.
 */
public final class RecentRequestIds {
    /** Covers 10,000 requests per second for 3 seconds, in about 5 MB. */
    static final int MAX_IDS = 32_768;
    /** Of a longer id a digest is kept, so that an id takes bounded memory. */
    static final int MAX_LENGTH = 40;

    private static final String DIGEST_ALGORITHM = "SHA-256";
    /** How much of a digest is kept, in bytes. */
    private static final int DIGEST_BYTES = 16;
    /** Begins the key of a digest; no id contains it. */
    private static final char DIGEST_MARK = '\0';

    private final ArrayDeque<Entry> oldestFirst = new ArrayDeque<>();
    private final Set<String> ids = new HashSet<>();

    private record Entry(String key, double expiresAtMs) {}

    /** Records that the request with this id has ended and remembers the id for {@code retentionMs}. */
    public void add(double now, String id, double retentionMs) {
        evictExpired(now);
        addEvicted(now, key(id), retentionMs);
    }

    /** As {@link #add}, by the id's {@link #key}. */
    public void addKey(double now, String key, double retentionMs) {
        evictExpired(now);
        addEvicted(now, key, retentionMs);
    }

    private void addEvicted(double now, String key, double retentionMs) {
        if (oldestFirst.size() >= MAX_IDS) {
            ids.remove(oldestFirst.poll().key());
        }
        if (ids.add(key)) {
            oldestFirst.add(new Entry(key, now + retentionMs));
        }
    }

    /** Receives a key, and for how many milliseconds it is still remembered. */
    public interface KeyConsumer {
        /** Receives one key. */
        void accept(String key, double remainingMs);
    }

    /** Passes on all that is remembered, the oldest first. */
    public void forEach(double now, KeyConsumer consumer) {
        evictExpired(now);
        oldestFirst.forEach(entry -> consumer.accept(entry.key(), entry.expiresAtMs() - now));
    }

    /** Whether a request with this id ended recently. */
    public boolean contains(double now, String id) {
        evictExpired(now);
        return ids.contains(key(id));
    }

    /** Returns the number of remembered ids. */
    public int size() {
        return oldestFirst.size();
    }

    /** Returns the length of the longest key that is kept, in characters. */
    int longestKey() {
        return ids.stream().mapToInt(String::length).max().orElse(0);
    }

    /** Returns what is kept of an id: itself, or a digest of a long one. */
    public static String key(String id) {
        if (id.length() <= MAX_LENGTH) {
            return id;
        }
        byte[] text = new byte[id.length()];
        for (int i = 0; i < text.length; i++) {
            text[i] = (byte) id.charAt(i);
        }
        try {
            byte[] digest = MessageDigest.getInstance(DIGEST_ALGORITHM).digest(text);
            return DIGEST_MARK + HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + DIGEST_ALGORITHM, e);
        }
    }

    private void evictExpired(double now) {
        while (!oldestFirst.isEmpty() && oldestFirst.peek().expiresAtMs() <= now) {
            ids.remove(oldestFirst.poll().key());
        }
    }
}

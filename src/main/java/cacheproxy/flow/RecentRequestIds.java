package cacheproxy.flow;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Remembers the ids of recently ended requests, to detect reuse of an id. Every request must have a new id. If a
 * request with a reused id were accepted, there would be two responses to one id, and servers still working on the
 * first request would treat the second as a repeat of it. Bounded in time and number; the oldest ids are evicted first.
 */
public final class RecentRequestIds {
    /** Covers 2000 requests per second for 8 seconds, in about 2 MB. */
    static final int MAX_IDS = 16_384;

    private final ArrayDeque<Entry> oldestFirst = new ArrayDeque<>();
    private final Set<String> ids = new HashSet<>();

    private record Entry(String id, double expiresAtMs) {}

    /** Records that the request with this id has ended and remembers the id for {@code retentionMs}. */
    public void add(double now, String id, double retentionMs) {
        evictExpired(now);
        if (oldestFirst.size() >= MAX_IDS) {
            ids.remove(oldestFirst.poll().id());
        }
        if (ids.add(id)) {
            oldestFirst.add(new Entry(id, now + retentionMs));
        }
    }

    /** Whether a request with this id ended recently. */
    public boolean contains(double now, String id) {
        evictExpired(now);
        return ids.contains(id);
    }

    /** Returns the number of remembered ids. */
    public int size() {
        return oldestFirst.size();
    }

    private void evictExpired(double now) {
        while (!oldestFirst.isEmpty() && oldestFirst.peek().expiresAtMs() <= now) {
            ids.remove(oldestFirst.poll().id());
        }
    }
}

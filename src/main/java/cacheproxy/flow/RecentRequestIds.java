package cacheproxy.flow;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Remembers the ids of requests that have ended recently. Every request has a new id, so a repeated one names another
 * client's request: served, that request would have two answers, and servers that still work on the first would take
 * the two for one. Bounded in time and number; the oldest are evicted first.
 */
public final class RecentRequestIds {
    /** Two thousand requests a second for eight seconds, in about two megabytes. */
    static final int MAX_IDS = 16_384;

    private final ArrayDeque<Entry> oldestFirst = new ArrayDeque<>();
    private final Set<String> ids = new HashSet<>();

    private record Entry(String id, double expiresAtMs) {}

    /** The request of this id has ended; the id is remembered for {@code retentionMs}. */
    public void add(double now, String id, double retentionMs) {
        evictExpired(now);
        if (oldestFirst.size() >= MAX_IDS) {
            ids.remove(oldestFirst.poll().id());
        }
        if (ids.add(id)) {
            oldestFirst.add(new Entry(id, now + retentionMs));
        }
    }

    /** Whether a request of this id has ended recently. */
    public boolean contains(double now, String id) {
        evictExpired(now);
        return ids.contains(id);
    }

    /** How many ids are remembered. */
    public int size() {
        return oldestFirst.size();
    }

    private void evictExpired(double now) {
        while (!oldestFirst.isEmpty() && oldestFirst.peek().expiresAtMs() <= now) {
            ids.remove(oldestFirst.poll().id());
        }
    }
}

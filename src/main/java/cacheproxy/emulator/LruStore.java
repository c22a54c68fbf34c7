package cacheproxy.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache node's store: the cached version of each key, with least-recently-used eviction.
 *
 * @param <K> the key type
 */
public final class LruStore<K> {
    private final Map<K, Long> versions;

    /** {@code entries}: the maximum number of keys, at least 1. */
    public LruStore(int entries) {
        if (entries < 1) {
            throw new IllegalArgumentException("a cache holds 1 entry or more, not " + entries);
        }
        versions = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
                return size() > entries;
            }
        };
    }

    /** Returns the cached version of a key, or null on a miss. */
    public Long get(K key) {
        return versions.get(key);
    }

    /** Stores a version of a key; evicts the least recently used key if the store is full. */
    public void put(K key, long version) {
        versions.put(key, version);
    }

    /** Removes a key if it is present. */
    public void drop(K key) {
        versions.remove(key);
    }

    /** Removes all keys. */
    public void clear() {
        versions.clear();
    }

    /** The number of stored keys. */
    public int size() {
        return versions.size();
    }
}

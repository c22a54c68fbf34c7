package cacheproxy.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache node's memory: the version held of each key, least recently used first out.
 *
 * @param <K> what a key is
 */
public final class LruStore<K> {
    private final Map<K, Long> versions;

    /** {@code entries}: how many keys it holds, at least 1. */
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

    /** The version held, or null. */
    public Long get(K key) {
        return versions.get(key);
    }

    /** Holds this version of a key from now on; drops the key used longest ago if there is no room. */
    public void put(K key, long version) {
        versions.put(key, version);
    }

    /** Holds a key no longer; nothing happens if it did not. */
    public void drop(K key) {
        versions.remove(key);
    }

    /** Holds nothing from now on. */
    public void clear() {
        versions.clear();
    }

    /** How many keys are held. */
    public int size() {
        return versions.size();
    }
}

package damsonworks.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/** A cache node's memory: the version held of each key, least recently used first out. */
final class LruStore {
    private final Map<String, Long> versions;

    /** {@code entries}: how many keys it holds, at least 1. */
    LruStore(int entries) {
        if (entries < 1) {
            throw new IllegalArgumentException("a cache holds 1 entry or more, not " + entries);
        }
        versions = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > entries;
            }
        };
    }

    /** The version held, or null. */
    Long get(String key) {
        return versions.get(key);
    }

    void put(String key, long version) {
        versions.put(key, version);
    }

    void drop(String key) {
        versions.remove(key);
    }

    void clear() {
        versions.clear();
    }

    int size() {
        return versions.size();
    }
}

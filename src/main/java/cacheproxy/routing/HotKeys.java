package cacheproxy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which keys this instance is asked for so often that one endpoint must not serve all of it, and over how many they are
 * spread. Counts halve every {@link #HALF_LIFE_MS}, in whole steps, and keys whose count reaches zero are dropped.
 *
 * <p>Departure from the CARP draft (section 3.4), which sends all requests for a key to its top-ranked member.
 */
final class HotKeys {
    /** Long enough for a hot key to show at a proxy with a few requests a second. */
    private static final double HALF_LIFE_MS = 4000;
    /** Below this count a key isn't hot: chance alone brings a few requests together. */
    private static final int MIN_COUNT = 6;
    /** As many keys as can be hot at a time, with room. */
    private static final int MAX_TRANSFERRED = 256;

    private final Map<Long, int[]> counts = new HashMap<>();
    private double total;
    private double halvedAtMs;

    /** One more request for a key; the count of requests for it, this one included. */
    int record(double nowMs, long key) {
        while (nowMs - halvedAtMs > HALF_LIFE_MS) {
            halvedAtMs = counts.isEmpty() ? nowMs : halvedAtMs + HALF_LIFE_MS;
            total /= 2;
            counts.values().removeIf(count -> (count[0] /= 2) == 0);
        }
        total++;
        return ++counts.computeIfAbsent(key, k -> new int[1])[0];
    }

    /**
     * Over how many of its top-ranked endpoints the requests for a key are spread: a key that exceeds one endpoint's
     * equal part of all requests seen here, over as many as bring each under that. All instances see much the same.
     *
     * @param count of the key's requests, from {@link #record}
     * @param endpoints how many there are in all
     * @return 1 or more, at most the number of endpoints where there are any
     */
    int replicas(int count, int endpoints) {
        int replicas = count < MIN_COUNT ? 1 : (int) Math.ceil(count / total * endpoints);
        return Math.max(1, Math.min(replicas, endpoints));
    }

    /** Requests for all keys, with what has faded taken off. */
    double total() {
        return total;
    }

    /** The hot keys with their counts, hottest first. */
    List<HotKey> hottest() {
        return counts.entrySet().stream()
                .filter(entry -> entry.getValue()[0] >= MIN_COUNT)
                .sorted((a, b) -> b.getValue()[0] - a.getValue()[0])
                .limit(MAX_TRANSFERRED)
                .map(entry -> new HotKey(entry.getKey(), entry.getValue()[0]))
                .toList();
    }

    /** As if this had been seen here: not more than that, since the other may go on for a while. */
    void restore(double nowMs, double requests, List<HotKey> hottest) {
        total = requests;
        halvedAtMs = nowMs;
        hottest.forEach(hot -> counts.put(hot.key(), new int[] {hot.count()}));
    }
}

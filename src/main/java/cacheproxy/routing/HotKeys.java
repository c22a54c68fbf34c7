package cacheproxy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects keys that are requested so often that one endpoint should not serve all their requests, and computes over how
 * many endpoints to spread them. Counts are halved every {@link #HALF_LIFE_MS}, and keys whose count reaches zero are
 * dropped. At most {@link #MAX_KEYS} keys are counted, by the algorithm of Misra and Gries (1982): a further key lowers
 * each count by one instead of being counted.
 *
 * <p>Deviates from the CARP draft (section 3.4), which sends all requests for a key to its top-ranked member.
 */
final class HotKeys {
    /** Long enough to detect a hot key at a proxy with a few requests per second. */
    private static final double HALF_LIFE_MS = 4000;
    /** The lowest count of a hot key; lower counts also occur by chance. */
    private static final int MIN_COUNT = 6;
    /** The most keys that are counted; more than the requests of a usual instance within two half-lives. */
    static final int MAX_KEYS = 16_384;
    /** The most hot keys to transfer to a successor; more than can be hot at a time. */
    private static final int MAX_TRANSFERRED = 256;

    private final Map<Long, int[]> counts = new HashMap<>();
    private double total;
    private double halvedAtMs;

    /** Counts a request for a key. Returns the key's count, including this request. */
    int record(double nowMs, long key) {
        while (nowMs - halvedAtMs > HALF_LIFE_MS) {
            halvedAtMs = counts.isEmpty() ? nowMs : halvedAtMs + HALF_LIFE_MS;
            total /= 2;
            counts.values().removeIf(count -> (count[0] /= 2) == 0);
        }
        total++;
        int[] count = counts.get(key);
        if (count == null && counts.size() >= MAX_KEYS) {
            counts.values().removeIf(other -> --other[0] == 0);
            return 1;
        }
        if (count == null) {
            count = new int[1];
            counts.put(key, count);
        }
        return ++count[0];
    }

    /**
     * The number of top-ranked endpoints over which the requests for a key are spread. A key that exceeds one
     * endpoint's equal share of all requests at this instance is spread over enough endpoints to bring each below that
     * share. All instances get similar results, as they see similar traffic.
     *
     * @param count the key's count, from {@link #record}
     * @param endpoints the number of endpoints
     * @return 1 or more, and at most the number of endpoints if there are any
     */
    int replicas(int count, int endpoints) {
        int replicas = count < MIN_COUNT ? 1 : (int) Math.ceil(count / total * endpoints);
        return Math.max(1, Math.min(replicas, endpoints));
    }

    /** The decaying count of requests for all keys. */
    double total() {
        return total;
    }

    /** How many keys are counted. */
    int size() {
        return counts.size();
    }

    /** The hot keys, in descending order of their counts. */
    List<HotKey> hottest() {
        return counts.entrySet().stream()
                .filter(entry -> entry.getValue()[0] >= MIN_COUNT)
                .sorted((a, b) -> b.getValue()[0] - a.getValue()[0])
                .limit(MAX_TRANSFERRED)
                .map(entry -> new HotKey(entry.getKey(), entry.getValue()[0]))
                .toList();
    }

    /**
     * Replaces the counts with those of another instance. Does not add to what this instance has seen, as the other may
     * remain in service for a while.
     */
    void restore(double nowMs, double requests, List<HotKey> hottest) {
        total = requests;
        halvedAtMs = nowMs;
        hottest.forEach(hot -> counts.put(hot.key(), new int[] {hot.count()}));
    }
}

package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class RecentRequestIdsTest {
    private static final double HOLD_MS = 100;

    @Example
    void anIdIsHeldForItsTimeAndFreeThen() {
        RecentRequestIds ids = new RecentRequestIds();
        ids.add(0, "a", HOLD_MS);
        assertThat(ids.contains(HOLD_MS - 1, "a")).isTrue();
        assertThat(ids.contains(HOLD_MS - 1, "b")).isFalse();
        assertThat(ids.contains(HOLD_MS, "a")).isFalse();
        assertThat(ids.size()).isZero();
    }

    @Example
    void ofTooManyTheOldestIsForgotten() {
        RecentRequestIds ids = new RecentRequestIds();
        for (int i = 0; i <= RecentRequestIds.MAX_IDS; i++) {
            ids.add(0, "i" + i, HOLD_MS);
        }
        assertThat(ids.size()).isEqualTo(RecentRequestIds.MAX_IDS);
        assertThat(ids.contains(0, "i0")).isFalse();
        assertThat(ids.contains(0, "i1")).isTrue();
        assertThat(ids.contains(0, "i" + RecentRequestIds.MAX_IDS)).isTrue();
    }

    /** Against a plain map of ends, with ids that come again once they are free. */
    @Property
    void holdsWhatEndedWithinItsTime(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 19) Integer> requests) {
        RecentRequestIds ids = new RecentRequestIds();
        Map<String, Double> endedMs = new HashMap<>();
        double now = 0;
        for (int request : requests) {
            now += 7;
            String id = "i" + request;
            boolean held = endedMs.containsKey(id) && now < endedMs.get(id) + HOLD_MS;
            assertThat(ids.contains(now, id)).isEqualTo(held);
            if (!held) {
                ids.add(now, id, HOLD_MS);
                endedMs.put(id, now);
            }
        }
    }
}

package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ServiceModelTest {
    @Test
    void workIsDoneInTurnAndWhatFindsNoRoomIsTurnedAway() {
        ServiceModel<String> core = new ServiceModel<>(1, 2);
        assertThat(core.offer(0, "a", 10, 2)).isTrue();
        assertThat(core.offer(0, "b", 10, 2)).isTrue();
        assertThat(core.offer(0, "c", 10, 2)).isTrue();
        assertThat(core.offer(0, "d", 10, 2)).isFalse();
        assertThat(core.finishMs()).isEqualTo(5);
        assertThat(core.advance(4.9, 2)).isEmpty();
        assertThat(core.advance(10, 2)).containsExactly("a", "b");
        assertThat(core.load()).isEqualTo(1);
    }

    @Test
    void aStallMovesWhatRunsAndWhatBeginsInIt() {
        ServiceModel<String> core = new ServiceModel<>(1, 5);
        core.offer(0, "a", 10, 1);
        core.stall(4, 100);
        assertThat(core.finishMs()).isEqualTo(110);
        core.stall(50, 54); // ends with the first stall, so it adds no delay
        assertThat(core.finishMs()).isEqualTo(110);
        core.advance(110, 1);
        core.stall(200, 50);
        core.offer(210, "b", 10, 1);
        assertThat(core.finishMs()).isEqualTo(260);
    }

    /**
     * For any arrivals: the capacity is never exceeded, and all accepted jobs complete within the sum of their work.
     */
    @Property(tries = 200, seed = "11")
    void allWorkTakenIsDoneOnce(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 50) Integer> works,
            @ForAll @IntRange(min = 1, max = 4) int places,
            @ForAll @IntRange(min = 0, max = 10) int queue) {
        ServiceModel<Integer> model = new ServiceModel<>(places, queue);
        List<Integer> taken = new ArrayList<>();
        List<Integer> done = new ArrayList<>();
        double now = 0;
        double sum = 0;
        for (int i = 0; i < works.size(); i++) {
            now += i % 7;
            done.addAll(model.advance(now, 1));
            if (model.offer(now, i, works.get(i), 1)) {
                taken.add(i);
                sum += works.get(i);
            }
            assertThat(model.load()).isLessThanOrEqualTo(places + queue);
        }
        double end = now;
        while (model.load() > 0) {
            end = model.finishMs();
            done.addAll(model.advance(end, 1));
        }
        assertThat(done).containsExactlyInAnyOrderElementsOf(taken);
        assertThat(end).isLessThanOrEqualTo(now + sum + 1e-6);
        if (places == 1) {
            assertThat(done).isSorted();
            assertThat(end).isGreaterThanOrEqualTo(sum - 1e-6);
        }
    }

    @Test
    void aColdNodeFallsAboveThreeTimesWhatItCanDoAndNotBelow() {
        ColdStart.Settings settings = new ColdStart.Settings(0.3, 9000, 3, 1500, 0);
        for (double multiple : new double[] {2.9, 3.2}) {
            ColdStart start = new ColdStart(settings, 2, 1000);
            boolean fell = false;
            double atMs = 0;
            for (double t = 1000; t < 9000 && !fell; t += 10) {
                fell = start.pushedOver(t, multiple * start.share(t) * 2 * 10);
                atMs = t;
            }
            assertThat(fell).as("%s times", multiple).isEqualTo(multiple > 3);
            if (fell) {
                assertThat(atMs).isCloseTo(2500, within(200.0));
            }
        }
    }

    @Test
    void aWarmNodeDoesNotFall() {
        ColdStart start = new ColdStart(new ColdStart.Settings(0.3, 9000, 3, 1500, 0), 1, Double.NEGATIVE_INFINITY);
        assertThat(start.share(0)).isEqualTo(1);
        for (int i = 0; i < 10_000; i++) {
            assertThat(start.pushedOver(i, 1000)).isFalse();
        }
    }

    @Test
    void theLeastRecentlyUsedKeyGoesFirst() {
        LruStore<String> store = new LruStore<>(2);
        store.put("a", 1);
        store.put("b", 1);
        store.get("a");
        store.put("c", 1);
        assertThat(store.get("b")).isNull();
        assertThat(store.get("a")).isEqualTo(1);
        assertThat(store.size()).isEqualTo(2);
    }
}

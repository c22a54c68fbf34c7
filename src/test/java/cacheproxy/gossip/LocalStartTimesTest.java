package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Start times of endpoints if the local clock differs from the clock of the list. */
class LocalStartTimesTest {
    private static final double NOW_MS = 1.8e12;
    private static final double HOUR_MS = 3_600_000;

    private static Endpoint endpoint(int id, double startTimeMs) {
        return new Endpoint(id, 0, 0, 0, EndpointState.READY, 1, startTimeMs);
    }

    private static double localStartTimeMs(List<Endpoint> endpoints) {
        return endpoints.get(0).localStartTimeMs();
    }

    @Test
    void aPlausibleStartTimeIsUsedAsItIs() {
        LocalStartTimes times = new LocalStartTimes();
        times.reset(NOW_MS, List.of(endpoint(1, 0)));
        times.onUpdate(NOW_MS + 100, List.of());
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 5000, List.of(endpoint(2, NOW_MS + 3000)))))
                .isEqualTo(NOW_MS + 3000);
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 6000, List.of(endpoint(1, 0)))))
                .isZero();
    }

    /** This machine's clock is an hour ahead. */
    @Test
    void aNewStartTimeIsNotAnHourOld() {
        LocalStartTimes times = new LocalStartTimes();
        times.reset(NOW_MS, List.of());
        times.onUpdate(NOW_MS + 100, List.of(endpoint(1, 0)));
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 5000, List.of(endpoint(2, NOW_MS - HOUR_MS)))))
                .isEqualTo(NOW_MS + 5000);
    }

    /** This machine's clock is an hour behind. */
    @Test
    void aStartTimeIsNotInTheFuture() {
        LocalStartTimes times = new LocalStartTimes();
        assertThat(localStartTimeMs(times.reset(NOW_MS, List.of(endpoint(1, NOW_MS + HOUR_MS)))))
                .isEqualTo(NOW_MS);
        assertThat(localStartTimeMs(times.withLocalStartTimes(NOW_MS + 50, List.of(endpoint(2, NOW_MS + HOUR_MS)))))
                .isEqualTo(NOW_MS + 50);
    }

    @Test
    void aTranslatedStartTimeHoldsUntilTheNextStart() {
        LocalStartTimes times = new LocalStartTimes();
        times.reset(NOW_MS, List.of());
        times.onUpdate(NOW_MS, List.of());
        times.onUpdate(NOW_MS + 5000, List.of(endpoint(2, NOW_MS - HOUR_MS)));
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 90_000, List.of(endpoint(2, NOW_MS - HOUR_MS)))))
                .isEqualTo(NOW_MS + 5000);
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 95_000, List.of(endpoint(2, NOW_MS + 94_000)))))
                .isEqualTo(NOW_MS + 94_000);
    }

    /** Endpoints may have started any time before the first list. */
    @Test
    void theFirstListMayHoldStartTimesOfAnyAge() {
        LocalStartTimes times = new LocalStartTimes();
        times.reset(NOW_MS, List.of());
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 100, List.of(endpoint(2, NOW_MS - HOUR_MS)))))
                .isEqualTo(NOW_MS - HOUR_MS);
    }

    @Test
    void afterAnOutageOfDiscoveryOldStartTimesAreNew() {
        LocalStartTimes times = new LocalStartTimes();
        times.reset(NOW_MS, List.of());
        times.onUpdate(NOW_MS, List.of());
        assertThat(localStartTimeMs(times.onUpdate(NOW_MS + 600_000, List.of(endpoint(2, NOW_MS + 10_000)))))
                .isEqualTo(NOW_MS + 10_000);
    }
}

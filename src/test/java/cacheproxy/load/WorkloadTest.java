package cacheproxy.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import cacheproxy.emulator.Keys;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.ValueSizes;
import cacheproxy.load.SyntheticWorkload.Arrivals;
import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Tests the schedules of the workloads; sends nothing. */
class WorkloadTest {
    private static final List<TrafficClass> CLASSES = TrafficClass.SUBTITLES;

    private static List<Planned> all(Workload workload) {
        List<Planned> all = new ArrayList<>();
        for (Planned p; (p = workload.next()) != null; ) {
            all.add(p);
        }
        return all;
    }

    private static SyntheticWorkload drawn(
            double rate, double seconds, Shape shape, Arrivals arrivals, double zipf, double stay, long seed) {
        return new SyntheticWorkload(new SyntheticWorkload.Settings(
                rate, seconds, shape, arrivals, 1000, zipf, stay, ValueSizes.of(100), CLASSES, seed));
    }

    @Test
    void constantArrivalsLieEvenly() {
        List<Planned> all = all(drawn(100, 10, Shape.STEADY, Arrivals.CONSTANT, 1, 0, 1));
        assertThat(all).hasSizeBetween(999, 1000);
        for (int i = 1; i < all.size(); i++) {
            assertThat(all.get(i).atNanos() - all.get(i - 1).atNanos()).isCloseTo(10_000_000L, within(1000L));
        }
    }

    @Property(tries = 30, seed = "3")
    void everyShapeSendsTheRateOnAverageAndInOrder(
            @ForAll Shape shape,
            @ForAll Arrivals arrivals,
            @ForAll @DoubleRange(min = 200, max = 2000) double rate,
            @ForAll long seed) {
        List<Planned> all = all(drawn(rate, 20, shape, arrivals, 1, 0, seed));
        assertThat((double) all.size()).isCloseTo(rate * 20, within(6 * Math.sqrt(rate * 20)));
        assertThat(all).isSortedAccordingTo((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
        assertThat(all.get(all.size() - 1).atNanos()).isLessThan(20_000_000_000L);
    }

    @Test
    void aSurgeClimbsAndPoissonVariesAsItShould() {
        List<Planned> surge = all(drawn(1000, 20, Shape.SURGE, Arrivals.POISSON, 1, 0, 5));
        long early = surge.stream().filter(p -> p.atNanos() < 2_000_000_000L).count();
        long peak = surge.stream()
                .filter(p -> p.atNanos() / 1_000_000_000L / 2 == 4)
                .count();
        assertThat((double) peak / early).isCloseTo(4, within(0.5));
        Map<Long, Integer> perTenth = new HashMap<>();
        all(drawn(1000, 100, Shape.STEADY, Arrivals.POISSON, 1, 0, 5))
                .forEach(p -> perTenth.merge(p.atNanos() / 100_000_000L, 1, Integer::sum));
        double variance = perTenth.values().stream()
                .mapToDouble(n -> (n - 100.0) * (n - 100.0))
                .average()
                .orElse(0);
        assertThat(variance).isCloseTo(100, within(20.0)); // a Poisson count's variance is its mean
    }

    @Test
    void theSameSeedGivesTheSameRequestsAndAnotherOthers() {
        assertThat(all(drawn(500, 2, Shape.WAVE, Arrivals.POISSON, 1, 1, 9)))
                .isEqualTo(all(drawn(500, 2, Shape.WAVE, Arrivals.POISSON, 1, 1, 9)))
                .isNotEqualTo(all(drawn(500, 2, Shape.WAVE, Arrivals.POISSON, 1, 1, 10)));
    }

    @Test
    void classesComeByTheirSharesAndKeysByZipfsLaw() {
        List<Planned> all = all(drawn(10_000, 10, Shape.STEADY, Arrivals.CONSTANT, 1, 0, 2));
        long writes = all.stream().filter(Planned::write).count();
        assertThat(100.0 * writes / all.size()).isCloseTo(100 * 4.5 / 99.5, within(0.3));
        double harmonic = 0;
        for (int i = 1; i <= 1000; i++) {
            harmonic += 1.0 / i;
        }
        long first = all.stream().filter(p -> p.key().equals(Keys.key(0))).count();
        assertThat((double) first / all.size()).isCloseTo(1 / harmonic, within(0.01));
    }

    @Test
    void popularKeysMoveOn() {
        List<Planned> all = all(drawn(5000, 4, Shape.STEADY, Arrivals.CONSTANT, 2, 2, 2));
        Map<Boolean, Map<String, Integer>> counts = new HashMap<>();
        all.forEach(p -> counts.computeIfAbsent(p.atNanos() < 2_000_000_000L, k -> new HashMap<>())
                .merge(p.key(), 1, Integer::sum));
        assertThat(top(counts.get(true))).isEqualTo(Keys.key(0));
        assertThat(top(counts.get(false))).isEqualTo(Keys.key(10));
    }

    private static String top(Map<String, Integer> counts) {
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    // ---- traces

    private static TraceWorkload trace(TraceFormat format, double speed, String... lines) {
        return new TraceWorkload(
                new ByteArrayInputStream(String.join("\n", lines).getBytes(StandardCharsets.UTF_8)),
                format,
                CLASSES,
                speed);
    }

    @Test
    void aTraceOfOurOwnIsReplayedFromItsFirstTimeOn() {
        assertThat(all(trace(
                        TraceFormat.CSV,
                        2,
                        "time_ms,class,key,op,value_bytes",
                        "5000,seg-text,ab12,read,0",
                        "5100,fix-submit,ab12,write,70",
                        "5100,seg-text,Track #9,read,0")))
                .containsExactly(
                        new Planned(0, 0, "ab12", false, 0),
                        new Planned(50_000_000, 2, "ab12", true, 70),
                        new Planned(
                                50_250_000,
                                0,
                                trace(TraceFormat.CSV, 1, "0,seg-text,Track #9,read,0")
                                        .next()
                                        .key(),
                                false,
                                0));
    }

    @Test
    void aCacheTraceOfSecondsIsSpreadOverThem() {
        List<Planned> all = all(trace(
                TraceFormat.TWITTER,
                1,
                "7,zkey-1,6,100,1,get,0",
                "7,zkey-2,6,90,1,set,3600",
                "7,zkey-1,6,100,2,gets,0",
                "7,zkey-3,6,0,2,delete,0",
                "9,zkey-1,6,100,1,get,0"));
        assertThat(all)
                .extracting(Planned::atNanos)
                .containsExactly(0L, 250_000_000L, 500_000_000L, 750_000_000L, 2_000_000_000L);
        assertThat(all).extracting(Planned::write).containsExactly(false, true, false, true, false);
        assertThat(all.get(0).key()).isEqualTo(all.get(4).key()).matches("[0-9a-f]{16}");
        assertThat(all.get(1).valueBytes()).isEqualTo(90);
    }

    @Test
    void linesOfNoUseAreCountedWithTheFirstOnesNumbers() {
        TraceWorkload trace = trace(
                TraceFormat.CSV,
                1,
                "0,seg-text,a,read,0",
                "soon,seg-text,a,read,0",
                "",
                "1,2",
                "3,seg-text,a,write,5",
                "4,none,a,read,0",
                "5,seg-text,,read,0",
                "6,seg-text,a,read,-1",
                "NaN,seg-text,a,read,0",
                "2,seg-text,b,read,0");
        List<Planned> all = all(trace);
        assertThat(all).extracting(Planned::key).containsExactly("a", "b");
        assertThat(trace.unreadable()).isEqualTo(new Workload.Unreadable(7, List.of(2L, 4L, 5L, 6L, 7L, 8L, 9L)));
    }

    @Test
    void settingsOfNoSenseAreRefused() {
        assertThatThrownBy(() -> drawn(0, 1, Shape.STEADY, Arrivals.CONSTANT, 1, 0, 1))
                .hasMessageContaining("rate");
        assertThatThrownBy(() -> drawn(1, 1, Shape.STEADY, Arrivals.CONSTANT, -1, 0, 1))
                .hasMessageContaining("exponent");
        assertThatThrownBy(() -> trace(TraceFormat.CSV, 0, "")).hasMessageContaining("speed");
    }
}

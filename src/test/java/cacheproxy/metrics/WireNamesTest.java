package cacheproxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.Verdict;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Pins the names that operators and tools read, which stay when a constant is renamed. */
class WireNamesTest {
    private static String golden(String name) throws IOException {
        try (InputStream in = WireNamesTest.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static <T> String table(T[] values, Function<T, String> row) {
        List<String> rows = new ArrayList<>();
        Arrays.stream(values).map(row).forEach(rows::add);
        return String.join("\n", rows) + "\n";
    }

    @Test
    void eventKindKeys() throws IOException {
        assertThat(table(EventKind.values(), EventKind::key)).isEqualTo(golden("event-kinds.txt"));
    }

    @Test
    void counterKeysAndLabels() throws IOException {
        assertThat(table(Metric.values(), metric -> metric.key() + "\t" + metric.label()))
                .isEqualTo(golden("counters.txt"));
    }

    @Test
    void verdictKeys() throws IOException {
        assertThat(table(Verdict.values(), Verdict::key)).isEqualTo(golden("verdicts.txt"));
    }

    @Test
    void ruleViolationKeys() throws IOException {
        assertThat(table(RuleViolation.values(), RuleViolation::key)).isEqualTo(golden("breaches.txt"));
    }

    /** The line as the {@code figures} command reads it, with a distinct value for each counter. */
    @Test
    void metricsLineFormat() throws IOException {
        Map<Metric, Long> counts = new EnumMap<>(Metric.class);
        for (Metric metric : Metric.values()) {
            counts.put(metric, 100L + metric.ordinal());
        }
        MetricsLine line = new MetricsLine(
                "proxy \"1\"",
                4711,
                1_764_752_400_123L,
                60_000,
                -1,
                2500,
                counts,
                List.of(new MetricsLine.Node("1a", 5, 6, true), new MetricsLine.Node("ff", 0, 1, false)));
        String golden = golden("figures-line.txt");
        assertThat(line.text() + "\n").isEqualTo(golden);
        assertThat(MetricsLine.parse(golden)).contains(line);
    }
}

package cacheproxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.metrics.FleetMetrics.Ejection;
import cacheproxy.metrics.MetricsLine.Node;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FleetMetricsTest {
    private static MetricsLine line(String proxy, long pid, long atMs, long attempts, Node... nodes) {
        return new MetricsLine(
                proxy, pid, atMs, atMs - 1000, 40, 700, Map.of(Metric.ATTEMPTS, attempts), List.of(nodes));
    }

    private static Node ejected(String id) {
        return new Node(id, 1, 0, true);
    }

    @Property(seed = "1", tries = 200)
    void aLineIsParsedAsWritten(@ForAll long pid, @ForAll long at, @ForAll long[] counts, @ForAll boolean avoided) {
        Map<Metric, Long> all = new EnumMap<>(Metric.class);
        for (int i = 0; i < Math.min(counts.length, Metric.values().length); i++) {
            all.put(Metric.values()[i], counts[i]);
        }
        MetricsLine line = new MetricsLine("p \"1\"", pid, at, 2, -1, 3, all, List.of(new Node("1a", 5, 6, avoided)));
        assertThat(MetricsLine.parse("2026-12-01 p1: " + line.text())).contains(line);
    }

    /** A killed process may leave a truncated line, which is skipped and counted wherever it ends. */
    @Test
    void aTruncatedLineIsCountedAndSkipped() {
        String text = line("p0", 1, 5000, 7, ejected("1")).text();
        FleetMetrics metrics = new FleetMetrics();
        for (int end = MetricsLine.PREFIX.length() + 1; end < text.length(); end++) {
            assertThat(MetricsLine.parse(text.substring(0, end)))
                    .as(text.substring(0, end))
                    .isEmpty();
            metrics.add(text.substring(0, end));
        }
        metrics.add("no figures at all");
        assertThat(metrics.truncatedLines()).isEqualTo(text.length() - MetricsLine.PREFIX.length() - 1);
        assertThat(metrics.processes()).isEmpty();
    }

    @Property(seed = "1", tries = 100)
    void theLatestLineOfEachProcessCountsInAnyOrder(
            @ForAll @IntRange(min = 1, max = 72) int proxies,
            @ForAll @IntRange(min = 1, max = 8) int times,
            @ForAll long seed) {
        List<MetricsLine> lines = new ArrayList<>();
        for (int p = 0; p < proxies; p++) {
            for (int t = 1; t <= times; t++) {
                lines.add(line("p" + p, 1, t * 1000L, 10L * t));
                lines.add(line("p" + p, 2, (times + t) * 1000L, t)); // after a restart
            }
        }
        Collections.shuffle(lines, new Random(seed));
        FleetMetrics metrics = new FleetMetrics();
        lines.forEach(l -> metrics.add(l.text()));
        assertThat(metrics.total(Metric.ATTEMPTS)).isEqualTo(11L * proxies * times);
        assertThat(metrics.processes()).hasSize(2 * proxies);
        assertThat(metrics.spanMs()).isEqualTo(2000L * times - 1000);
    }

    @Test
    void anEjectionSpansFromTheFirstProcessToTheLastThatJoins() {
        FleetMetrics metrics = new FleetMetrics();
        metrics.add(line("p0", 1, 1000, 0));
        metrics.add(line("p0", 1, 2000, 0, ejected("a")));
        metrics.add(line("p1", 1, 2500, 0));
        metrics.add(line("p1", 1, 4500, 0, ejected("a"), ejected("b")));
        metrics.add(line("p0", 1, 5000, 0));
        metrics.add(line("p1", 1, 6500, 0, ejected("b")));
        metrics.add(line("p0", 1, 9000, 0, ejected("a"))); // a second ejection
        assertThat(metrics.ejections())
                .containsExactly(
                        new Ejection("a", 2000, 2500, 2), new Ejection("b", 4500, 0, 1), new Ejection("a", 9000, 0, 1));
        assertThat(metrics.ejections()).as("second call").hasSize(3);
    }

    @Test
    void rejectedConnectionsAreInDescendingOrder() {
        FleetMetrics metrics = new FleetMetrics();
        metrics.add(line("p0", 1, 1000, 0, new Node("a", 3, 2, false), new Node("b", 3, 1, false)));
        metrics.add(line("p1", 1, 1000, 0, new Node("b", 3, 4, true), new Node("c", 1, 0, true)));
        assertThat(metrics.rejectedConnections()).containsExactly(Map.entry("b", 5L), Map.entry("a", 2L));
    }

    @Test
    void theNumberOfNodesInALineIsLimited() {
        List<Node> many = Collections.nCopies(10 * MetricsLine.MAX_NODES, ejected("ffffffff"));
        assertThat(new MetricsLine("p", 1, 1, 1, 1, 1, Map.of(), many).nodes()).hasSize(MetricsLine.MAX_NODES);
        List<Node> all = Collections.nCopies(1100, ejected("ffffffff"));
        assertThat(MetricsLine.parse(new MetricsLine("p", 1, 1, 1, 1, 1, Map.of(), all).text())
                        .orElseThrow()
                        .nodes())
                .hasSize(1100);
    }
}

package cacheproxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.metrics.FleetWork.Left;
import cacheproxy.metrics.WorkLine.Node;
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

class FleetWorkTest {
    private static WorkLine line(String proxy, long pid, long atMs, long attempts, Node... nodes) {
        return new WorkLine(proxy, pid, atMs, atMs - 1000, 40, 700, Map.of(Work.ATTEMPTS, attempts), List.of(nodes));
    }

    private static Node avoided(String id) {
        return new Node(id, 1, 0, true);
    }

    @Property(seed = "1", tries = 200)
    void aLineIsReadAsItWasWritten(@ForAll long pid, @ForAll long at, @ForAll long[] counts, @ForAll boolean avoided) {
        Map<Work, Long> all = new EnumMap<>(Work.class);
        for (int i = 0; i < Math.min(counts.length, Work.values().length); i++) {
            all.put(Work.values()[i], counts[i]);
        }
        WorkLine line = new WorkLine("p \"1\"", pid, at, 2, -1, 3, all, List.of(new Node("1a", 5, 6, avoided)));
        assertThat(WorkLine.parse("2026-12-01 p1: " + line.text())).contains(line);
    }

    /** A process that is killed leaves half a line; every part of one is passed over, and told of. */
    @Test
    void halfALineIsNone() {
        String text = line("p0", 1, 5000, 7, avoided("1")).text();
        FleetWork work = new FleetWork();
        for (int end = WorkLine.MARK.length() + 1; end < text.length(); end++) {
            assertThat(WorkLine.parse(text.substring(0, end)))
                    .as(text.substring(0, end))
                    .isEmpty();
            work.add(text.substring(0, end));
        }
        work.add("no figures at all");
        assertThat(work.unread()).isEqualTo(text.length() - WorkLine.MARK.length() - 1);
        assertThat(work.processes()).isEmpty();
    }

    @Property(seed = "1", tries = 100)
    void theLastLineOfEachProcessCountsInWhateverOrderTheyCome(
            @ForAll @IntRange(min = 1, max = 72) int proxies,
            @ForAll @IntRange(min = 1, max = 8) int times,
            @ForAll long seed) {
        List<WorkLine> lines = new ArrayList<>();
        for (int p = 0; p < proxies; p++) {
            for (int t = 1; t <= times; t++) {
                lines.add(line("p" + p, 1, t * 1000L, 10L * t));
                lines.add(line("p" + p, 2, (times + t) * 1000L, t)); // started again
            }
        }
        Collections.shuffle(lines, new Random(seed));
        FleetWork work = new FleetWork();
        lines.forEach(l -> work.add(l.text()));
        assertThat(work.total(Work.ATTEMPTS)).isEqualTo(11L * proxies * times);
        assertThat(work.processes()).hasSize(2 * proxies);
        assertThat(work.spanMs()).isEqualTo(2000L * times - 1000);
    }

    @Test
    void aNodeIsLeftFromTheFirstThatAvoidsItToTheLastThatJoins() {
        FleetWork work = new FleetWork();
        work.add(line("p0", 1, 1000, 0));
        work.add(line("p0", 1, 2000, 0, avoided("a")));
        work.add(line("p1", 1, 2500, 0));
        work.add(line("p1", 1, 4500, 0, avoided("a"), avoided("b")));
        work.add(line("p0", 1, 5000, 0));
        work.add(line("p1", 1, 6500, 0, avoided("b")));
        work.add(line("p0", 1, 9000, 0, avoided("a"))); // another time
        assertThat(work.left())
                .containsExactly(new Left("a", 2000, 2500, 2), new Left("b", 4500, 0, 1), new Left("a", 9000, 0, 1));
        assertThat(work.left()).as("asked again").hasSize(3);
    }

    @Test
    void nodesWithoutAPlaceComeWithTheMostFirst() {
        FleetWork work = new FleetWork();
        work.add(line("p0", 1, 1000, 0, new Node("a", 3, 2, false), new Node("b", 3, 1, false)));
        work.add(line("p1", 1, 1000, 0, new Node("b", 3, 4, true), new Node("c", 1, 0, true)));
        assertThat(work.turnedAway()).containsExactly(Map.entry("b", 5L), Map.entry("a", 2L));
    }

    @Test
    void aLineIsBounded() {
        List<Node> many = Collections.nCopies(10 * WorkLine.MAX_NODES, avoided("ffffffff"));
        assertThat(new WorkLine("p", 1, 1, 1, 1, 1, Map.of(), many).nodes()).hasSize(WorkLine.MAX_NODES);
        List<Node> all = Collections.nCopies(1100, avoided("ffffffff"));
        assertThat(WorkLine.parse(new WorkLine("p", 1, 1, 1, 1, 1, Map.of(), all).text())
                        .orElseThrow()
                        .nodes())
                .hasSize(1100);
    }
}

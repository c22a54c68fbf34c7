package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.metrics.Work;
import cacheproxy.metrics.WorkLine;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What a proxy tells of its work in lines. */
class WorkLogTest {
    private static WorkLine line(Fleet fleet) {
        return fleet.on(() -> fleet.proxy.workLog(System.err).line());
    }

    @Test
    void aMissIsTwoAttemptsOneOfThemAFetch() throws Exception {
        FakeServer node = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                c.sayHttp(200, "", "hello");
            }
        });
        try (Fleet fleet = new Fleet().node(node).origin(origin).start();
                Fleet.Client client = fleet.client()) {
            assertThat(line(fleet).firstAnswerMs()).as("before any answer").isNegative();
            client.read("1");
            assertThat(client.line()).startsWith("VA 5 ");
            WorkLine line = line(fleet);
            assertThat(line.proxy()).isEqualTo("n0");
            assertThat(line.count(Work.ATTEMPTS)).isEqualTo(2);
            assertThat(line.count(Work.RETRIES)).isEqualTo(1);
            assertThat(line.count(Work.SECOND_COPIES)).isZero();
            assertThat(line.count(Work.FETCHES)).isEqualTo(1);
            assertThat(line.count(Work.CONNECTIONS)).isEqualTo(2);
            assertThat(line.count(Work.SERVED)).isEqualTo(1);
            assertThat(line.firstAnswerMs()).isBetween(0L, line.upMs());
            assertThat(line.nodes()).isEmpty();
        }
    }

    @Test
    void aNodeThatIsGoneIsToldOfAsAvoided() throws Exception {
        FakeServer gone = FakeServer.node(line -> "");
        String dial = gone.dial();
        gone.close();
        try (Fleet fleet = new Fleet().node(dial).start();
                Fleet.Client client = fleet.client()) {
            client.read("1").line();
            WorkLine line = line(fleet);
            assertThat(line.count(Work.CONNECTIONS_FAILED)).isEqualTo(1);
            assertThat(line.nodes()).containsExactly(new WorkLine.Node("1", 1, 0, true));
        }
    }

    @Test
    void discoverysCallsAndThoseThatFailAreCounted() throws Exception {
        FakeServer discovery = new FakeServer(c -> {
            while (c.request() != null) {
                c.sayHttp(503, "", "");
            }
        });
        try (Fleet fleet = new Fleet().discovery(discovery).start()) {
            Await.until(
                    "a call has failed and another followed",
                    () -> line(fleet).count(Work.LIST_CALLS) > 1 && line(fleet).count(Work.LIST_FAILURES) > 0);
        }
    }

    @Test
    void linesComeByThemselves() throws Exception {
        try (Fleet fleet = new Fleet().start()) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            fleet.proxy
                    .workLog(new PrintStream(out, true, StandardCharsets.UTF_8))
                    .every(fleet.proxy.loop(), 5);
            Await.until(
                    "two whole lines",
                    () -> out.toString(StandardCharsets.UTF_8)
                                    .lines()
                                    .filter(l -> WorkLine.parse(l).isPresent())
                                    .count()
                            > 1);
        }
    }
}

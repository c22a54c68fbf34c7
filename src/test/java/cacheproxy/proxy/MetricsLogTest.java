package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.metrics.Metric;
import cacheproxy.metrics.MetricsLine;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The metrics lines that a proxy logs. */
class MetricsLogTest {
    private static MetricsLine line(ProxyFixture fixture) {
        return fixture.onEventLoop(() -> fixture.proxy.metricsLog(System.err).line());
    }

    @Test
    void aMissIsTwoAttemptsOneOfThemAnOriginFetch() throws Exception {
        FakeServer node = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(200, "", "hello");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(line(fixture).firstServedMs())
                    .as("before the first answer")
                    .isNegative();
            client.read("1");
            assertThat(client.line()).startsWith("VA 5 ");
            MetricsLine line = line(fixture);
            assertThat(line.proxy()).isEqualTo("n0");
            assertThat(line.count(Metric.ATTEMPTS)).isEqualTo(2);
            assertThat(line.count(Metric.RETRIES)).isEqualTo(1);
            assertThat(line.count(Metric.HEDGES)).isZero();
            assertThat(line.count(Metric.ORIGIN_FETCHES)).isEqualTo(1);
            assertThat(line.count(Metric.CONNECTIONS_OPENED)).isEqualTo(2);
            assertThat(line.count(Metric.REQUESTS_SUCCEEDED)).isEqualTo(1);
            assertThat(line.firstServedMs()).isBetween(0L, line.upMs());
            assertThat(line.nodes()).isEmpty();
        }
    }

    @Test
    void anUnreachableNodeIsReportedAsEjected() throws Exception {
        FakeServer unreachable = FakeServer.node(line -> "");
        String dial = unreachable.dial();
        unreachable.close();
        try (ProxyFixture fixture = new ProxyFixture().node(dial).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1").line();
            MetricsLine line = line(fixture);
            assertThat(line.count(Metric.CONNECTIONS_FAILED)).isEqualTo(1);
            assertThat(line.nodes()).containsExactly(new MetricsLine.Node("1", 1, 0, true));
        }
    }

    @Test
    void pollsOfDiscoveryAndTheirFailuresAreCounted() throws Exception {
        FakeServer discovery = new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(503, "", "");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().discovery(discovery).start()) {
            Await.until(
                    "a poll has failed and another followed",
                    () -> line(fixture).count(Metric.ENDPOINT_LIST_POLLS) > 1
                            && line(fixture).count(Metric.ENDPOINT_LIST_POLL_FAILURES) > 0);
        }
    }

    @Test
    void linesAreWrittenAtIntervals() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture().start()) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            fixture.proxy
                    .metricsLog(new PrintStream(out, true, StandardCharsets.UTF_8))
                    .start(fixture.proxy.loop(), 5);
            Await.until(
                    "two complete lines are logged",
                    () -> out.toString(StandardCharsets.UTF_8)
                                    .lines()
                                    .filter(l -> MetricsLine.parse(l).isPresent())
                                    .count()
                            > 1);
        }
    }
}

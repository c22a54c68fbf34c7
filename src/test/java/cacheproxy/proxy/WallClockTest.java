package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A proxy whose wall clock is an hour off discovery's treats a new server as cold for its warm-up time. */
@Timeout(60)
class WallClockTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double WARM_UP_MS = 9000;

    private static String started(long seq, double bornMs) {
        JsonArray hosts = new JsonArray();
        JsonObject host = ProxyFixture.host("s-00000001", "node-fast", "127.0.0.1:9", "up");
        host.addProperty("born_ms", bornMs);
        hosts.add(host);
        return ProxyFixture.list(seq, false, hosts).toString();
    }

    /** How long a server stays cold if its start time is given by another clock. */
    private static double coldForMs(double aheadMs) throws Exception {
        double nowMs = System.currentTimeMillis();
        FakeServer discovery = new FakeServer(c -> {
            c.request();
            c.sendHttp(200, "", ProxyFixture.list(42, false, new JsonArray()).toString());
            c.request();
            c.sendHttp(200, "", started(43, nowMs + aheadMs));
            c.request();
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture()
                .node("127.0.0.1:9")
                .discovery(discovery)
                .set("caps.connect-timeout", "200.0")
                .start()) {
            Await.until(
                    "the server's start time is known",
                    () -> fixture.onEventLoop(() ->
                            fixture.proxy.dispatcher().servers().cacheNodes().get(0).startTimeMs == nowMs + aheadMs));
            List<Double> warm = fixture.onEventLoop(
                    () -> fixture.proxy.dispatcher().servers().warmedUpAtMs(0, WARM_UP_MS));
            return warm.get(0)
                    - fixture.onEventLoop(() -> fixture.proxy.dispatcher().now());
        }
    }

    @Test
    void aProxyWhoseClockIsAheadKeepsTheWarmUp() throws Exception {
        assertThat(coldForMs(-HOUR_MS)).isBetween(WARM_UP_MS / 2, WARM_UP_MS);
    }

    @Test
    void aProxyWhoseClockIsBehindKeepsTheWarmUp() throws Exception {
        assertThat(coldForMs(HOUR_MS)).isBetween(WARM_UP_MS / 2, WARM_UP_MS);
    }
}

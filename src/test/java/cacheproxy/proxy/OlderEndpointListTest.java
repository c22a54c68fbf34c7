package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Discovery answers with a list older than one it has sent before: a lagging replica, or one that lost its state. */
@Timeout(60)
class OlderEndpointListTest {
    private static final int KEYS = 64;
    private static final String DRAINED = "s-00000001";
    private static final String STAYS = "s-00000002";
    private static final String JOINS = "s-00000003";

    private final FakeServer drained = node();
    private final FakeServer stays = node();
    private int requests;

    OlderEndpointListTest() throws IOException {}

    private static FakeServer node() throws IOException {
        return FakeServer.node(command -> "VA 5 O" + FakeServer.id(command) + " h1\r\nhello\r\n");
    }

    @AfterEach
    void closeNodes() throws IOException {
        drained.close();
        stays.close();
    }

    private static JsonObject host(String name, FakeServer node, String health) {
        return ProxyFixture.host(name, "node-fast", node.dial(), health);
    }

    private static String list(long version, boolean whole, JsonObject... hosts) {
        JsonArray all = new JsonArray();
        for (JsonObject host : hosts) {
            all.add(host);
        }
        return ProxyFixture.list(version, whole, all).toString();
    }

    private String newer() {
        return list(44, false, host(DRAINED, drained, "draining"));
    }

    private String older() {
        return list(42, true, host(DRAINED, drained, "up"), host(STAYS, stays, "up"), host(JOINS, stays, "up"));
    }

    private ProxyFixture fixture(FakeServer discovery) {
        return new ProxyFixture()
                .discovery(discovery)
                .host(host(DRAINED, drained, "up"))
                .host(host(STAYS, stays, "up"))
                .set("caps.connect-timeout", "100.0");
    }

    private void readAll(ProxyFixture fixture) throws IOException {
        drained.commands.clear();
        try (ProxyFixture.Client client = fixture.client()) {
            for (int key = 0; key < KEYS; key++) {
                client.send("mg %x v O%x Pc=text,d=20000\r\n".formatted(key, ++requests));
                assertThat(client.line()).startsWith("VA 5 ");
                client.line();
            }
        }
    }

    @Test
    void anOlderListDoesNotLiftADrain() throws Exception {
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=41&")) {
                    c.sendHttp(200, "", newer());
                } else if (request.contains("since=44&")) {
                    c.sendHttp(200, "", older());
                } else {
                    c.awaitEnd();
                }
            }
        });
        try (ProxyFixture fixture = fixture(discovery).start()) {
            Await.until(
                    "the older list is in use, which has one more server",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().discoveredNodes()) == 3);
            readAll(fixture);
            assertThat(drained.commands).as("reads of the drained server").isEmpty();
        }
    }

    /** Two replicas, one lagging, that each answer at once the poll that the other's answer triggers. */
    @Test
    void disagreeingReplicasAreNotPolledWithoutADelay() throws Exception {
        int calls = 8;
        List<Long> calledNanos = new ArrayList<>();
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                synchronized (calledNanos) {
                    calledNanos.add(System.nanoTime());
                }
                c.sendHttp(200, "", request.contains("since=44&") ? older() : newer());
            }
        });
        try (ProxyFixture fixture = fixture(discovery).start()) {
            Await.until("discovery has received enough polls", () -> {
                synchronized (calledNanos) {
                    return calledNanos.size() > calls;
                }
            });
            double ms = (calledNanos.get(calls) - calledNanos.get(0)) / 1e6;
            assertThat(ms).as("milliseconds for %d polls", calls).isGreaterThan(calls * 80.0);
            assertThat(fixture.onEventLoop(() -> fixture.proxy.status().discoveredNodes()))
                    .isBetween(2, 3);
        }
    }
}

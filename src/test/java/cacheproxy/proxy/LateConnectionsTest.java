package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Events while a connection is being opened: updates of its server, the client's disconnect, completion. */
@Timeout(60)
class LateConnectionsTest {
    private static FakeServer origin() throws Exception {
        return new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(200, "", "fetch");
            }
        });
    }

    /** A discovery that reports this change of the first node once it is released, and nothing else. */
    private static FakeServer discovery(CountDownLatch report, JsonObject change) throws Exception {
        return new FakeServer(c -> {
            c.request();
            report.await();
            JsonArray hosts = new JsonArray();
            hosts.add(change);
            c.sendHttp(200, "", ProxyFixture.list(43, false, hosts).toString());
            c.request();
            c.awaitEnd();
        });
    }

    private static void awaitWaiting(ProxyFixture fixture, int requests) {
        Await.until(
                "requests wait for a connection",
                () -> fixture.onEventLoop(() -> fixture.proxy.status().openRequests() == requests
                        && fixture.proxy.status().upstreamConnections() > 0));
    }

    private static void assertNotSentAfter(Consumer<JsonObject> change) throws Exception {
        CountDownLatch report = new CountDownLatch(1);
        try (LateServer node = LateServer.node()) {
            JsonObject host = ProxyFixture.host("s-00000001", "node-fast", node.dial(), "up");
            change.accept(host);
            FakeServer discovery = discovery(report, host);
            ProxyFixture setup = new ProxyFixture()
                    .node(node.dial())
                    .origin(origin())
                    .discovery(discovery)
                    .set("caps.connect-timeout", "10000.0")
                    .set("guarantees.ask-within", "200.0");
            try (ProxyFixture fixture = setup.start()) {
                assertThat(discovery.nextCommand()).contains("since=41&");
                ProxyFixture.Client client = fixture.client().read("1");
                awaitWaiting(fixture, 1);
                report.countDown();
                assertThat(discovery.nextCommand()).contains("since=43&"); // the change is in use
                node.open();
                assertThat(client.line()).isEqualTo("VA 5 O1");
                assertThat(client.line()).isEqualTo("fetch");
                assertThat(node.commands).isEmpty();
            }
        }
    }

    /**
     * Guards against a request that reaches a node long after it began to drain, when its connection is established.
     */
    @Test
    void aWaitingRequestIsNotSentToANodeThatBeginsToDrain() throws Exception {
        assertNotSentAfter(h -> h.addProperty("health", "draining"));
    }

    @Test
    void aWaitingRequestIsNotSentToANodeThatWasRemoved() throws Exception {
        assertNotSentAfter(h -> h.addProperty("health", "removed"));
    }

    @Test
    void aWaitingRequestIsNotSentToTheOldAddressOfANode() throws Exception {
        assertNotSentAfter(h -> h.addProperty("dial", "127.0.0.1:9"));
    }

    /** Holds even if the settings forbid cancelling: a request that no server has received needs no cancel. */
    @Test
    void nothingIsSentForAClientThatDisconnectedMeanwhile() throws Exception {
        try (LateServer node = LateServer.node();
                ProxyFixture fixture = new ProxyFixture()
                        .node(node.dial())
                        .set("caps.may-cancel", "false")
                        .set("caps.connect-timeout", "10000.0")
                        .start()) {
            ProxyFixture.Client disconnecting = fixture.client();
            disconnecting.read("1");
            awaitWaiting(fixture, 1);
            disconnecting.close();
            awaitWaiting(fixture, 0);
            ProxyFixture.Client next = fixture.client().read("2");
            awaitWaiting(fixture, 1);
            node.open();
            assertThat(next.line()).isEqualTo("VA 5 O2");
            assertThat(node.commands).hasSize(1);
        }
    }

    /** Two clients read one key, and the second waits for the first one's fetch. */
    @Test
    void ifTheFetchingRequestDisconnectsItsWaiterFetches() throws Exception {
        FakeServer node = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        LateServer origin = new LateServer(p -> {
            for (String line; (line = p.command()) != null; ) {
                if (line.isEmpty()) {
                    p.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfetch");
                }
            }
        });
        try (origin;
                ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .origin(origin.dial())
                        .set("caps.connect-timeout", "10000.0")
                        .start()) {
            ProxyFixture.Client leader = fixture.client();
            leader.read("1");
            node.nextCommand();
            Await.until(
                    "its fetch waits",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().upstreamConnections()) == 2);
            ProxyFixture.Client waiter = fixture.client().read("2");
            node.nextCommand();
            fixture.client().send("mn\r\n").line(); // the event loop has completed an iteration and read the miss
            awaitWaiting(fixture, 2);
            leader.close();
            awaitWaiting(fixture, 1);
            origin.open();
            assertThat(waiter.line()).isEqualTo("VA 5 O2");
            assertThat(waiter.line()).isEqualTo("fetch");
            assertThat(origin.commands).filteredOn(l -> l.startsWith("Req-Id")).containsExactly("Req-Id: 2");
        }
    }

    /** The hedge's connection is established after the first attempt was answered; the hedge must not be sent then. */
    @Test
    void nothingIsSentForACompletedRequest() throws Exception {
        CountDownLatch copied = new CountDownLatch(1);
        FakeServer slow = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                if (FakeServer.id(line).equals("1")) { // the other request is never answered
                    copied.await();
                    c.send("VA 5 O1 h1\r\nhello\r\n");
                }
            }
        });
        // Each of sixty proxies has one connection to a node, so waiting requests are sent in order.
        try (LateServer late = LateServer.node();
                ProxyFixture fixture = new ProxyFixture()
                        .node(slow)
                        .node(late.dial())
                        .set("caps.may-cancel", "false")
                        .set("classes.0.promise", "400.0")
                        .set("caps.connect-timeout", "10000.0")
                        .set("balancers", "60")
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            String first = Keys.ranked(1, 2);
            String second = Keys.ranked(2, 1);
            client.send("mg " + first + " v O1 Pc=text,d=20000\r\n");
            Await.until(
                    "the hedge waits for its connection",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().upstreamConnections()) == 2);
            copied.countDown();
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            client.send("mg " + second + " v O2 Pc=text,d=20000\r\n"); // to the node that the hedge was meant for
            awaitWaiting(fixture, 1);
            late.open();
            assertThat(client.line()).isEqualTo("VA 5 O2");
            assertThat(late.commands)
                    .isNotEmpty()
                    .allMatch(l -> FakeServer.id(l).equals("2"));
        }
    }
}

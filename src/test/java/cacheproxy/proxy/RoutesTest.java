package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.config.ConfigFile;
import cacheproxy.config.Configuration;
import cacheproxy.config.Problems;
import cacheproxy.config.Source;
import cacheproxy.config.edge.EdgeFile;
import cacheproxy.config.edge.RoutingSections;
import cacheproxy.route.PoolStatus;
import cacheproxy.route.RouteStatus;
import cacheproxy.route.Routing;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Routes on sockets: two nodes in two pools, which requests may use the fallback, and routes reloaded in service. */
@Timeout(60)
class RoutesTest {
    private static final String POOLS = "pool one { host = \"s-00000001\" } pool two { host = \"s-00000002\" } ";
    private static final String ROUTES =
            POOLS + "route a { key = \"a*\" pool = one fallback = two } " + "route b { key = \"b*\" pool = two }";

    static Routing routing(String text) {
        Problems problems = new Problems();
        Configuration c = ConfigFile.read(new Source("x", text), EdgeFile.schema(null), problems);
        assertThat(problems.text()).isEmpty();
        return RoutingSections.routing(c);
    }

    private static FakeServer node(String value) {
        try {
            return FakeServer.node(
                    line -> "VA " + value.length() + " O" + FakeServer.id(line) + " h1\r\n" + value + "\r\n");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static String get(ProxyFixture.Client client, String key, String id) throws Exception {
        client.send("mg " + key + " v O" + id + " Pc=text,d=20000\r\n");
        String head = client.line();
        return head.startsWith("VA") ? client.line() : head;
    }

    private static ProxyFixture fixture(String routes) {
        ProxyFixture fixture = new ProxyFixture();
        fixture.routing = routing(routes);
        return fixture;
    }

    @Test
    void keysGoToTheirPoolsAndOthersToAll() throws Exception {
        try (ProxyFixture fixture =
                        fixture(ROUTES).node(node("one")).node(node("two")).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(get(client, "a" + i, "a" + i)).isEqualTo("one");
                assertThat(get(client, "b" + i, "b" + i)).isEqualTo("two");
                assertThat(get(client, "c" + i, "c" + i)).isIn("one", "two");
            }
            assertThat(fixture.onEventLoop(() -> fixture.proxy.router().routes()))
                    .extracting(RouteStatus::requests)
                    .containsExactly(20L, 20L, 20L);
        }
    }

    @Test
    void aDeadPoolsReadsAreServedByTheFallback() throws Exception {
        try (ProxyFixture fixture =
                        fixture(ROUTES).node("127.0.0.1:9").node(node("two")).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(get(client, "a" + i, "a" + i)).isEqualTo("two");
            }
            assertThat(fixture.onEventLoop(
                            () -> fixture.proxy.router().routes().get(0).fallbacks()))
                    .isEqualTo(20);
        }
    }

    /** The empty pool's routing would fetch from the origin, which the fallback pool's servers make unnecessary. */
    @Test
    void aPoolWithoutServersUsesTheFallbackAndNotTheOrigin() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(200, "", "origin");
            }
        });
        String routes = "pool none { host = \"nobody\" } pool two { host = \"s-00000002\" } "
                + "route a { key = \"a*\" pool = none fallback = two } route b { key = \"b*\" pool = none }";
        try (ProxyFixture fixture = fixture(routes)
                        .node(node("one"))
                        .node(node("two"))
                        .origin(origin)
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(get(client, "a1", "1")).isEqualTo("two");
            assertThat(origin.commands).isEmpty();
            assertThat(get(client, "b1", "2")).as("without a fallback").isEqualTo("origin");
        }
    }

    /** The origin reads the write and closes the connection: it may have been executed, so no pool gets it again. */
    @Test
    void aPossiblyExecutedWriteIsNotSentToTheFallback() throws Exception {
        FakeServer origin = new FakeServer(c -> c.request()); // then closes the connection
        try (ProxyFixture fixture = fixture(ROUTES)
                        .node(node("one"))
                        .node(node("two"))
                        .origin(origin)
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("ms a1 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(origin.commands).hasSize(1);
            assertThat(fixture.onEventLoop(
                            () -> fixture.proxy.router().routes().get(0).fallbacks()))
                    .isZero();
        }
    }

    @Test
    void openRequestsEndUnderTheOldRoutesAndNewOnesBeginUnderTheNew() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer one = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                release.await();
                c.send("VA 3 O" + FakeServer.id(line) + " h1\r\none\r\n");
            }
        });
        try (ProxyFixture fixture = fixture(ROUTES).node(one).node(node("two")).start();
                ProxyFixture.Client before = fixture.client()) {
            before.send("mg a1 v O1 Pc=text,d=20000\r\n");
            one.nextCommand();
            fixture.routing = routing(POOLS.substring(POOLS.indexOf("pool two")) + "route all { pool = two }");
            fixture.reload();
            Await.until(
                    "the new routes are in use",
                    () -> fixture.onEventLoop(() -> fixture.proxy.router().version()) == 2);
            assertThat(get(fixture.client(), "a1", "2")).isEqualTo("two");
            assertThat(fixture.onEventLoop(() -> fixture.proxy.router().pools()))
                    .extracting(PoolStatus::name)
                    .containsExactly("", "one", "two");
            release.countDown();
            assertThat(before.line()).isEqualTo("VA 3 O1");
            assertThat(before.line()).isEqualTo("one");
            Await.until(
                    "the removed pool is closed",
                    () -> fixture.onEventLoop(() -> fixture.proxy.router().pools())
                                    .size()
                            == 2);
        }
    }

    @Test
    void invalidRoutesChangeNothing() throws Exception {
        try (ProxyFixture fixture =
                fixture(ROUTES).node(node("one")).node(node("two")).start()) {
            fixture.routing = null; // loading routes fails
            fixture.reload();
            assertThat(get(fixture.client(), "a1", "1")).isEqualTo("one");
            assertThat(fixture.onEventLoop(() -> fixture.proxy.router().version()))
                    .isEqualTo(1);
            fixture.routing = routing(ROUTES);
            fixture.reload();
            Await.until(
                    "the next hold",
                    () -> fixture.onEventLoop(() -> fixture.proxy.router().version()) == 2);
        }
    }
}

package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that race with the closing of a connection or of the listening socket. */
@Timeout(60)
class ClosingTest {
    private static ProxyFixture fixture() throws Exception {
        return new ProxyFixture().node(FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n"));
    }

    @Test
    void connectionsInTheBacklogAreServedThoughTheListenerCloses() throws Exception {
        try (ProxyFixture fixture = fixture().start()) {
            CountDownLatch release = fixture.pauseEventLoop();
            List<ProxyFixture.Client> waiting = new ArrayList<>();
            for (int i = 0; i < 40; i++) { // more than one event-loop iteration accepts
                waiting.add(fixture.client().read("w" + i));
            }
            fixture.proxy.loop().execute(fixture.proxy.clientAcceptor()::stopListening);
            release.countDown();
            for (int i = 0; i < waiting.size(); i++) {
                assertThat(waiting.get(i).line()).isEqualTo("VA 5 Ow" + i);
            }
            Await.until(
                    "the listening socket is closed",
                    () -> !fixture.onEventLoop(() ->
                            fixture.proxy.clientAcceptor().listeningChannel().isOpen()));
        }
    }

    private static void closeIdle(ProxyFixture fixture, double now) {
        fixture.onEventLoop(() -> {
            fixture.proxy.clientAcceptor().closeIdle(3, now);
            return null;
        });
    }

    @Test
    void aNewConnectionIsNotClosedBeforeItsFirstRequest() throws Exception {
        try (ProxyFixture fixture = fixture().start();
                ProxyFixture.Client used = fixture.client()) {
            assertThat(used.send("mn\r\n").line()).isEqualTo("MN");
            double now = fixture.onEventLoop(() -> fixture.proxy.dispatcher().now());
            ProxyFixture.Client fresh = fixture.client();
            ProxyFixture.Client silent = fixture.client();
            Await.until(
                    "all clients are connected",
                    () -> fixture.onEventLoop(
                                    () -> fixture.proxy.clientAcceptor().idleConnections())
                            == 3);
            closeIdle(fixture, now);
            assertThat(used.isAtEnd()).isTrue();
            assertThat(fresh.read("1").line()).isEqualTo("VA 5 O1");
            closeIdle(fixture, now + 30_000); // its time to send a first request is over
            assertThat(silent.isAtEnd()).isTrue();
        }
    }

    /** A client whose connection is closed to make room may have just sent a request; it must see an orderly close. */
    @Test
    void aConnectionClosedToMakeRoomIsClosedOrderly() throws Exception {
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", 96);
        ProxyFixture setup = fixture();
        setup.config.add("limits", limits);
        try (ProxyFixture fixture = setup.start()) {
            List<ProxyFixture.Client> all = new ArrayList<>();
            for (int i = 0; i < 16; i++) { // as many as the descriptor limit allows
                all.add(fixture.client());
                assertThat(all.get(i).send("mn\r\n").line()).isEqualTo("MN");
            }
            CountDownLatch release = fixture.pauseEventLoop();
            ProxyFixture.Client another = fixture.client();
            all.get(0).read("crossing");
            release.countDown();
            assertThat(all.get(0).line()).isNull(); // an orderly close, not a reset
            assertThat(another.read("1").line()).isEqualTo("VA 5 O1");
            assertThat(all.get(1).read("2").line()).isEqualTo("VA 5 O2");
        }
    }
}

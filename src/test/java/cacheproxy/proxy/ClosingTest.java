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
    private static Fleet fleet() throws Exception {
        return new Fleet().node(FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n"));
    }

    @Test
    void connectionsInTheBacklogAreServedThoughTheListenerCloses() throws Exception {
        try (Fleet fleet = fleet().start()) {
            CountDownLatch release = fleet.pauseEventLoop();
            List<Fleet.Client> waiting = new ArrayList<>();
            for (int i = 0; i < 40; i++) { // more than one event-loop iteration accepts
                waiting.add(fleet.client().read("w" + i));
            }
            fleet.proxy.loop().execute(fleet.proxy.clientAcceptor()::stopListening);
            release.countDown();
            for (int i = 0; i < waiting.size(); i++) {
                assertThat(waiting.get(i).line()).isEqualTo("VA 5 Ow" + i);
            }
            Await.until(
                    "the listening socket is closed",
                    () -> !fleet.onEventLoop(() ->
                            fleet.proxy.clientAcceptor().listeningChannel().isOpen()));
        }
    }

    private static void closeIdle(Fleet fleet, double now) {
        fleet.onEventLoop(() -> {
            fleet.proxy.clientAcceptor().closeIdle(3, now);
            return null;
        });
    }

    @Test
    void aNewConnectionIsNotClosedBeforeItsFirstRequest() throws Exception {
        try (Fleet fleet = fleet().start();
                Fleet.Client used = fleet.client()) {
            assertThat(used.send("mn\r\n").line()).isEqualTo("MN");
            double now = fleet.onEventLoop(() -> fleet.proxy.dispatcher().now());
            Fleet.Client fresh = fleet.client();
            Fleet.Client mute = fleet.client();
            Await.until(
                    "all clients are connected",
                    () -> fleet.onEventLoop(() -> fleet.proxy.clientAcceptor().idleConnections()) == 3);
            closeIdle(fleet, now);
            assertThat(used.isAtEnd()).isTrue();
            assertThat(fresh.read("1").line()).isEqualTo("VA 5 O1");
            closeIdle(fleet, now + 30_000); // its time to send a first request is over
            assertThat(mute.isAtEnd()).isTrue();
        }
    }

    /** A client whose connection is closed to make room may have just sent a request; it must see an orderly close. */
    @Test
    void aConnectionClosedToMakeRoomIsClosedOrderly() throws Exception {
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", 96);
        Fleet setup = fleet();
        setup.config.add("limits", limits);
        try (Fleet fleet = setup.start()) {
            List<Fleet.Client> all = new ArrayList<>();
            for (int i = 0; i < 16; i++) { // as many as the descriptor limit allows
                all.add(fleet.client());
                assertThat(all.get(i).send("mn\r\n").line()).isEqualTo("MN");
            }
            CountDownLatch release = fleet.pauseEventLoop();
            Fleet.Client another = fleet.client();
            all.get(0).read("crossing");
            release.countDown();
            assertThat(all.get(0).line()).isNull(); // an orderly close, not a reset
            assertThat(another.read("1").line()).isEqualTo("VA 5 O1");
            assertThat(all.get(1).read("2").line()).isEqualTo("VA 5 O2");
        }
    }
}

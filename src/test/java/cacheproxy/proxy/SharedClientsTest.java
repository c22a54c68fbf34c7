package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Connections closed so that clients reconnect and are redistributed: only between requests, and none whose first
 * request has yet to arrive.
 */
@Timeout(60)
class SharedClientsTest {
    private static int closeMostRecentlyUsed(Fleet fleet, int many) {
        return fleet.onEventLoop(() -> {
            int before = fleet.proxy.clientAcceptor().idleConnections();
            fleet.proxy.clientAcceptor().closeMostRecentlyUsed(many);
            return before - fleet.proxy.clientAcceptor().idleConnections();
        });
    }

    @Test
    void onlyAnsweredConnectionsAreClosedMostRecentlyUsedFirst() throws Exception {
        try (Fleet fleet = new Fleet().start();
                Fleet.Client first = fleet.client();
                Fleet.Client last = fleet.client()) {
            for (Fleet.Client c : new Fleet.Client[] {first, last}) {
                assertThat(c.send("mn\r\n").line()).isEqualTo("MN");
            }
            Fleet.Client silent = fleet.client(); // connected only now: the proxy closes a client that stays silent
            Await.until(
                    "all are idle",
                    () -> fleet.onEventLoop(() -> fleet.proxy.clientAcceptor().idleConnections()) == 3);
            assertThat(closeMostRecentlyUsed(fleet, 1)).isEqualTo(1);
            assertThat(last.isAtEnd()).isTrue();
            assertThat(closeMostRecentlyUsed(fleet, 9)).isEqualTo(1);
            assertThat(first.isAtEnd()).isTrue();
            assertThat(silent.send("mn\r\n").line()).isEqualTo("MN");
        }
    }
}

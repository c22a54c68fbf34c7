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
    private static int end(Fleet fleet, int many) {
        return fleet.on(() -> {
            int before = fleet.proxy.clientAcceptor().idleConnections();
            fleet.proxy.clientAcceptor().closeMostRecentlyUsed(many);
            return before - fleet.proxy.clientAcceptor().idleConnections();
        });
    }

    @Test
    void onlyOnesThatHaveBeenAnsweredAreEndedAndThoseUsedLastFirst() throws Exception {
        try (Fleet fleet = new Fleet().start();
                Fleet.Client first = fleet.client();
                Fleet.Client last = fleet.client()) {
            for (Fleet.Client c : new Fleet.Client[] {first, last}) {
                assertThat(c.say("mn\r\n").line()).isEqualTo("MN");
            }
            Fleet.Client unheard = fleet.client(); // connected only now: the proxy closes a client that stays silent
            Await.until(
                    "all are idle",
                    () -> fleet.on(() -> fleet.proxy.clientAcceptor().idleConnections()) == 3);
            assertThat(end(fleet, 1)).isEqualTo(1);
            assertThat(last.ended()).isTrue();
            assertThat(end(fleet, 9)).isEqualTo(1);
            assertThat(first.ended()).isTrue();
            assertThat(unheard.say("mn\r\n").line()).isEqualTo("MN");
        }
    }
}

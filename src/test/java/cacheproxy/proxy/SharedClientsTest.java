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
    private static int closeMostRecentlyUsed(ProxyFixture fixture, int many) {
        return fixture.onEventLoop(() -> {
            int before = fixture.proxy.clientAcceptor().idleConnections();
            fixture.proxy.clientAcceptor().closeMostRecentlyUsed(many);
            return before - fixture.proxy.clientAcceptor().idleConnections();
        });
    }

    @Test
    void onlyAnsweredConnectionsAreClosedMostRecentlyUsedFirst() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture().start();
                ProxyFixture.Client first = fixture.client();
                ProxyFixture.Client last = fixture.client()) {
            for (ProxyFixture.Client c : new ProxyFixture.Client[] {first, last}) {
                assertThat(c.send("mn\r\n").line()).isEqualTo("MN");
            }
            ProxyFixture.Client silent =
                    fixture.client(); // connected only now: the proxy closes a client that stays silent
            Await.until(
                    "all are idle",
                    () -> fixture.onEventLoop(
                                    () -> fixture.proxy.clientAcceptor().idleConnections())
                            == 3);
            assertThat(closeMostRecentlyUsed(fixture, 1)).isEqualTo(1);
            assertThat(last.isAtEnd()).isTrue();
            assertThat(closeMostRecentlyUsed(fixture, 9)).isEqualTo(1);
            assertThat(first.isAtEnd()).isTrue();
            assertThat(silent.send("mn\r\n").line()).isEqualTo("MN");
        }
    }
}

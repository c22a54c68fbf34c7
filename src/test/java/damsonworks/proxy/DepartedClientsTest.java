package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import damsonworks.Await;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that leave while their connections are not read: nothing begins for them after that. */
@Timeout(60)
class DepartedClientsTest {
    private static final int MANY = 3000;

    /** What is left behind its end is not read, whatever of it waits in the system. */
    @Test
    void whoSendsMuchAtOnceAndGoesIsNotServedOn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null;) {
                go.await();
                c.say("VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
            }
        });
        try (Fleet fleet = new Fleet().node(node).start(); Fleet.Client other = fleet.client()) {
            StringBuilder flood = new StringBuilder();
            for (int i = 0; i < MANY; i++) {
                flood.append("mg 7f3a9c21e0b4d655 v Of").append(i).append(" Pc=text,d=20000\r\n");
            }
            Fleet.Client leaving = fleet.client();
            leaving.say(flood.toString());
            Await.until("its first requests are out", () -> fleet.on(() -> fleet.proxy.status().owed()) > 0);
            leaving.close();
            Await.until("its end is seen", () -> fleet.on(() -> fleet.proxy.status().owed()) == 0);
            long taken = fleet.on(() -> fleet.proxy.core().taken());
            go.countDown();
            other.say("mg 7f3a9c21e0b4d655 v Oother Pc=text,d=20000\r\n");
            assertThat(other.line()).isEqualTo("VA 5 Oother");
            assertThat(fleet.on(() -> fleet.proxy.core().taken())).isEqualTo(taken + 1);
        }
    }
}

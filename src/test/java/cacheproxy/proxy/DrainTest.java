package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The shutdown at SIGTERM: accepted requests are answered, connections close between requests, and it terminates. */
class DrainTest {
    @Test
    void whatIsInHandIsAnsweredBeforeItsConnectionEnds() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            String line = c.command();
            go.await();
            c.say("VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
            c.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client idle = fleet.client().say("mn\r\n");
                Fleet.Client busy = fleet.client().read("1");
                Fleet.Client half = fleet.client().say("mn\r\nm")) {
            assertThat(idle.line()).isEqualTo("MN");
            node.next();
            assertThat(half.line()).isEqualTo("MN");
            Thread drain = new Thread(fleet.proxy::terminate);
            drain.start();
            assertThat(idle.ended()).isTrue();
            go.countDown();
            assertThat(busy.line()).isEqualTo("VA 5 O1");
            assertThat(busy.line()).isEqualTo("hello");
            assertThat(busy.ended()).isTrue();
            half.say("n\r\n"); // a partly received command is still answered
            assertThat(half.line()).isEqualTo("MN");
            assertThat(half.ended()).isTrue();
            idle.close();
            busy.close();
            half.close();
            drain.join();
        }
    }
}

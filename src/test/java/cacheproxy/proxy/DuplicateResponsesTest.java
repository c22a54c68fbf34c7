package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses followed by surplus input: late duplicates, and invalid data. */
@Timeout(60)
class DuplicateResponsesTest {
    /** Connections to the origin that each of sixty proxies may usually have. */
    private static final int MAX_ORIGIN_CONNECTIONS = 4;

    private static String write(Object id) {
        return "ms 7f3a 5 O" + id + " Pc=fix,d=20000\r\nhello\r\n";
    }

    private static String receipt(String id) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + (1 + id.length()) + "\r\n\r\nr" + id;
    }

    /** The next write is read in the same event-loop iteration as the answer, and the duplicate arrives then. */
    @Test
    void aLateDuplicateOfTheOriginsResponseIsNotTakenForTheNextResponse() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        FakeServer origin = new FakeServer(c -> {
            String id = FakeServer.id(c.request());
            if (!id.equals("1")) {
                c.send(receipt(id));
                c.awaitEnd();
                return;
            }
            answer.await();
            c.send(receipt(id));
            answered.countDown();
            c.pause.acquire(); // until the next write has been sent, on this connection or another
            c.send(receipt(id));
            c.awaitEnd();
            ended.countDown();
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client one = fixture.client();
                ProxyFixture.Client two = fixture.client()) {
            two.send("mn\r\n").line();
            one.send(write(1));
            origin.nextCommand();
            CountDownLatch release = fixture.pauseEventLoop();
            answer.countDown();
            answered.await();
            two.send(write(2));
            release.countDown();
            assertThat(one.line()).isEqualTo("HD O1 cr1");
            origin.accepted.take().pause.release();
            assertThat(two.line()).isEqualTo("HD O2 cr2");
            assertThat(ended.await(20, TimeUnit.SECONDS))
                    .as("the duplicate closes its connection")
                    .isTrue();
            assertThat(two.send(write(3)).line()).isEqualTo("HD O3 cr3");
        }
    }

    /**
     * Guards against a client being served with another request's response: once no more connections to the origin may
     * be opened, the next write was sent on one that had just had a response, and took its duplicate for its own.
     */
    @Test
    void aDuplicateIsNotTakenForTheNextResponseWhereNoMoreConnectionsMayBeOpened() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(MAX_ORIGIN_CONNECTIONS);
        CountDownLatch duplicate = new CountDownLatch(1);
        CountDownLatch duplicated = new CountDownLatch(MAX_ORIGIN_CONNECTIONS);
        FakeServer origin = new FakeServer(c -> {
            String id = FakeServer.id(c.request());
            if (!id.startsWith("early")) {
                c.send(receipt(id));
                c.awaitEnd();
                return;
            }
            allArrived.countDown();
            allArrived.await();
            c.send(receipt(id));
            duplicate.await();
            c.send(receipt(id));
            duplicated.countDown();
            for (String request; (request = c.request()) != null; ) {
                c.send(receipt(FakeServer.id(request)));
            }
        });
        try (ProxyFixture fixture =
                        new ProxyFixture().origin(origin).set("balancers", "60").start();
                ProxyFixture.Client late = fixture.client()) {
            late.send("mn\r\n").line();
            List<ProxyFixture.Client> early = new ArrayList<>();
            for (int i = 0; i < MAX_ORIGIN_CONNECTIONS; i++) {
                early.add(fixture.client().send(write("early" + i)));
            }
            for (int i = 0; i < MAX_ORIGIN_CONNECTIONS; i++) {
                assertThat(early.get(i).line()).isEqualTo("HD Oearly" + i + " crearly" + i);
            }
            CountDownLatch resume = fixture.pauseEventLoop();
            late.send(write("late"));
            duplicate.countDown();
            duplicated.await();
            resume.countDown();
            assertThat(late.line()).isEqualTo("HD Olate crlate");
        }
    }

    /** Surplus bytes without a line end would be taken for the start of the next response. */
    @Test
    void invalidInputBehindTheOriginsResponseClosesTheConnection() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                c.send(receipt(FakeServer.id(request)) + "noise");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                assertThat(client.send(write(i)).line()).isEqualTo("HD O" + i + " cr" + i);
            }
        }
    }

    @Test
    void invalidInputBehindANodesResponseClosesTheConnection() throws Exception {
        FakeServer node = FakeServer.node(l -> "VA 5 O" + FakeServer.id(l) + " h1\r\nhello\r\nnoise");
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .set("caps.max-attempts", "1")
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                assertThat(client.read("r" + i).line()).isEqualTo("VA 5 Or" + i);
                client.line();
            }
        }
    }

    /** A surplus line end after a response is not the start of another. */
    @Test
    void aLineEndBehindTheOriginsResponseIsSkipped() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                c.send(receipt(FakeServer.id(request)) + "\r\n");
            }
        });
        try (ProxyFixture fixture =
                        new ProxyFixture().origin(origin).set("balancers", "60").start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 12; i++) {
                assertThat(client.send(write(i)).line()).isEqualTo("HD O" + i + " cr" + i);
            }
            assertThat(origin.accepted).hasSizeLessThanOrEqualTo(4);
        }
    }

    /**
     * Each of sixty proxies has four connections to the origin; requests that come one by one wait until one has
     * rested.
     */
    @Test
    void ifAllConnectionsRestTheOneThatHasRestedLongestIsUsed() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                c.send(receipt(FakeServer.id(request)));
            }
        });
        int writes = 40;
        try (ProxyFixture fixture =
                        new ProxyFixture().origin(origin).set("balancers", "60").start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < writes; i++) {
                assertThat(client.send(write(i)).line()).isEqualTo("HD O" + i + " cr" + i);
            }
            assertThat(origin.accepted).hasSizeLessThanOrEqualTo(4);
            assertThat(origin.commands).hasSize(writes);
        }
    }
}

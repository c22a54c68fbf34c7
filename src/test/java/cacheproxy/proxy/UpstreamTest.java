package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the proxy handles misbehaving cache nodes and origins, on loopback sockets. */
@Timeout(120)
class UpstreamTest {
    private static String hit(String command) {
        return "VA 5 O" + FakeServer.id(command) + " h1\r\nhello\r\n";
    }

    /** An origin that gives every request this answer. */
    private static FakeServer origin(int status, String headers, String body) throws Exception {
        return new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(status, headers, body);
            }
        });
    }

    /** Reads this many keys, one at a time, and asserts that each is answered. */
    private static void servesReads(ProxyFixture.Client client, int reads) throws Exception {
        for (int i = 0; i < reads; i++) {
            client.send("mg " + Integer.toHexString(0x1000 + 7919 * i) + " v O" + i + " Pc=text,d=20000\r\n");
            assertThat(client.line()).isEqualTo("VA 5 O" + i);
            client.line();
        }
    }

    private static String refusingAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void aMissIsFetchedFromTheOrigin() throws Exception {
        FakeServer node = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .origin(origin(200, "", "master"))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA 6 O1");
            assertThat(client.line()).isEqualTo("master");
        }
    }

    @Test
    void oneConnectionServesRequestAfterRequest() throws Exception {
        FakeServer node = FakeServer.node(UpstreamTest::hit);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 5; i++) {
                client.read("a" + i);
                assertThat(client.line()).isEqualTo("VA 5 Oa" + i);
                client.line();
            }
            assertThat(node.accepted).hasSize(1);
        }
    }

    @Test
    void aNodeThatRefusesConnectionsOrRejectsRequestsIsSkipped() throws Exception {
        AtomicInteger busy = new AtomicInteger();
        FakeServer full = FakeServer.node(line -> {
            busy.incrementAndGet();
            return "SERVER_ERROR busy\r\n";
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(refusingAddress())
                        .node(full)
                        .node(FakeServer.node(UpstreamTest::hit))
                        .origin(origin(200, "", "fetch"))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            servesReads(client, 30);
            assertThat(busy.get()).isPositive();
        }
    }

    /** Guards against requests that each try in vain to open a connection while other proxies hold all of them. */
    @Test
    void aNodeAtItsConnectionLimitIsReplacedByTheNextRankedForAWhile() throws Exception {
        FakeServer crowded = new FakeServer(c -> {
            c.command();
            c.send("SERVER_ERROR busy\r\n");
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(crowded)
                        .node(FakeServer.node(UpstreamTest::hit))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            servesReads(client, 60);
            assertThat(crowded.commands).hasSize(1);
            assertThat(fixture.onEventLoop(() -> fixture.proxy.status().ejectedNodes()))
                    .isZero();
        }
    }

    /**
     * An invalid response must not be taken for a connection limit: the proxy closes the connection then, not the node.
     */
    @Test
    void aRejectionFollowedByInvalidInputSaysNothingOfConnectionLimits() throws Exception {
        FakeServer noisy = new FakeServer(c -> {
            c.command();
            c.send("SERVER_ERROR busy\r\nnoise\r\n");
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(noisy)
                        .node(FakeServer.node(UpstreamTest::hit))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            servesReads(client, 60);
            assertThat(noisy.commands).hasSizeGreaterThan(10);
        }
    }

    /** A rejection on a connection that stays open is no lasting limit: the node is tried again. */
    @Test
    void aNodeWhoseQueueIsFullIsTriedAgain() throws Exception {
        FakeServer full = FakeServer.node(line -> "SERVER_ERROR busy\r\n");
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(full)
                        .node(FakeServer.node(UpstreamTest::hit))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            servesReads(client, 60);
            assertThat(full.commands).hasSizeGreaterThan(10);
        }
    }

    @Test
    void aNonIdempotentWriteIsRejectedOnlyIfItWasNotExecuted() throws Exception {
        String write = "ms 7f3a 5 O1 Pc=fix,d=2000\r\nhello\r\n";
        try (ProxyFixture fixture =
                        new ProxyFixture().origin(origin(500, "", "")).start();
                ProxyFixture.Client c = fixture.client()) {
            assertThat(c.send(write).line()).isEqualTo("SERVER_ERROR failed");
        }
        try (ProxyFixture fixture =
                        new ProxyFixture().origin(origin(503, "", "")).start();
                ProxyFixture.Client c = fixture.client()) {
            assertThat(c.send(write).line()).isEqualTo("SERVER_ERROR failed");
        }
        try (ProxyFixture fixture = new ProxyFixture()
                        .origin(origin(503, "Srv-Declined: 1\r\n", ""))
                        .start();
                ProxyFixture.Client c = fixture.client()) {
            assertThat(c.send(write).line()).startsWith("SERVER_ERROR busy");
        }
        try (ProxyFixture fixture = new ProxyFixture().origin(refusingAddress()).start();
                ProxyFixture.Client c = fixture.client()) {
            assertThat(c.send(write).line()).startsWith("SERVER_ERROR busy");
        }
    }

    @Test
    void aNonIdempotentWriteWhoseLastByteWasWrittenIsNotRetried() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.reset();
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(client.send("mn\r\n").line()).isEqualTo("MN");
            assertThat(origin.commands).hasSize(1);
        }
    }

    @Test
    void aNonIdempotentWriteThatTimesOutFailsAndIsNotRejected() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("ms 7f3a 5 O1 Pc=fix,d=2000\r\nhello\r\n");
            origin.nextCommand();
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
        }
    }

    @Test
    void anInvalidResponseEndsTheAttemptAndTheConnection() throws Exception {
        for (String garbage : new String[] {
            "VA x O1\r\n", "VA 5 O7 h1\r\nhello\r\n", "VA 5 O1\r\nhelloXX", "\u0000\r\n", "HD O1 cx\r\n"
        }) {
            CountDownLatch ended = new CountDownLatch(1);
            FakeServer node = new FakeServer(c -> {
                c.command();
                c.send(garbage);
                c.awaitEnd();
                ended.countDown();
            });
            try (ProxyFixture fixture = new ProxyFixture()
                            .node(node)
                            .origin(origin(200, "", "fetch"))
                            .start();
                    ProxyFixture.Client client = fixture.client()) {
                client.read("1");
                assertThat(client.line()).as(garbage).isEqualTo("VA 5 O1");
                assertThat(client.line()).isEqualTo("fetch");
                ended.await();
            }
        }
        for (String garbage :
                new String[] {"what?\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nr1"}) {
            FakeServer broken = new FakeServer(c -> {
                c.request();
                c.send(garbage);
                c.awaitEnd();
            });
            try (ProxyFixture fixture = new ProxyFixture().origin(broken).start();
                    ProxyFixture.Client client = fixture.client()) {
                client.send("ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).as(garbage).isEqualTo("SERVER_ERROR failed");
            }
        }
    }

    /** Two reads of one key share a fetch; the second goes to the origin once the first is answered. */
    @Test
    void aDuplicateOfAResponseIsNotTakenForTheNextResponse() throws Exception {
        CountDownLatch missed = new CountDownLatch(2);
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                c.send("EN O" + FakeServer.id(line) + " h0\r\n");
                missed.countDown();
            }
        });
        String first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        FakeServer origin = new FakeServer(c -> {
            boolean leads = FakeServer.id(c.request()).equals("1");
            if (leads) {
                release.await();
            }
            c.send(leads ? first + first : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .origin(origin)
                        .set("caps.max-attempts", "2")
                        .start();
                ProxyFixture.Client one = fixture.client()) {
            one.read("1");
            origin.nextCommand();
            ProxyFixture.Client two = fixture.client().read("2");
            missed.await();
            fixture.client().send("mn\r\n").line(); // the event loop has completed an iteration
            fixture.client().send("mn\r\n").line();
            release.countDown();
            assertThat(one.line()).isEqualTo("VA 5 O1");
            assertThat(one.line()).isEqualTo("first");
            assertThat(two.line()).isEqualTo("VA 5 O2");
            assertThat(two.line()).isEqualTo("other");
        }
    }

    @Test
    void anIdleConnectionThatTheServerClosedIsNotUsed() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.sendHttp(200, "", "r1");
            c.socket.close();
            closed.countDown();
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                client.send("ms 7f3a 5 O" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).isEqualTo("HD O" + i + " cr1");
                closed.await();
                client.send("mn\r\n").line(); // the event loop has completed an iteration
            }
        }
    }

    @Test
    void closedConnectionsDoNotCountAgainstTheLimit() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.sendHttp(200, "Connection: close\r\n", "r1");
            c.awaitEnd();
        });
        try (ProxyFixture fixture =
                        new ProxyFixture().origin(origin).set("balancers", "60").start(); // four connections at most
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 12; i++) {
                client.send("ms 7f3a 5 O" + i + " Pc=fix,d=20000\r\nhello\r\n");
                assertThat(client.line()).isEqualTo("HD O" + i + " cr1");
            }
            assertThat(origin.accepted).hasSize(12);
        }
    }

    @Test
    void abandoningAnAttemptDoesNotEndTheOthersOnItsConnection() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        FakeServer pipelined = new FakeServer(c -> {
            String first = c.command();
            String second = c.command();
            gone.await();
            c.send(hit(first) + hit(second));
            c.awaitEnd();
        });
        ProxyFixture setup = new ProxyFixture().node(pipelined).set("balancers", "60");
        try (ProxyFixture fixture = setup.start()) {
            ProxyFixture.Client leaving = fixture.client();
            leaving.send("mg 7f3a v Oa Pc=text,d=20000\r\n");
            pipelined.nextCommand();
            ProxyFixture.Client other = fixture.client().send("mg 7f3b v Ob Pc=text,d=20000\r\n");
            pipelined.nextCommand();
            leaving.close();
            fixture.client().send("mn\r\n").line();
            gone.countDown();
            assertThat(other.line()).isEqualTo("VA 5 Ob");
        }
    }

    @Test
    void aServerThatAcceptsNoFurtherConnectionIsUsedByThoseThatAreOpen() throws Exception {
        CountDownLatch refusing = new CountDownLatch(1);
        FakeServer[] node = new FakeServer[1];
        node[0] = new FakeServer(c -> {
            String first = c.command();
            node[0].stopListening();
            refusing.countDown();
            String second = c.command();
            c.send(hit(first) + hit(second));
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node[0]).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            refusing.await();
            client.read("2");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            assertThat(client.line()).isEqualTo("VA 5 O2");
        }
    }

    @Test
    void aResponseThatStopsInItsMiddleIsNotWaitedFor() throws Exception {
        CountDownLatch ended = new CountDownLatch(2);
        FakeServer node = new FakeServer(c -> {
            c.send("VA 5 O" + FakeServer.id(c.command()) + " h1\r\nhel");
            c.awaitEnd();
            ended.countDown();
        });
        FakeServer origin = new FakeServer(c -> {
            if (c.request().startsWith("PUT")) {
                c.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nr");
                c.awaitEnd();
                ended.countDown();
            } else {
                c.sendHttp(200, "", "fetch");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            assertThat(client.line()).isEqualTo("fetch");
            client.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            ended.await();
        }
    }

    /** The deadline is longer than the test waits, so that a response which is delayed until then does not arrive. */
    @Test
    void aReadThatCanNoLongerBeInTimeIsRejectedAtOnce() throws Exception {
        FakeServer silent = new FakeServer(FakeServer.Connection::awaitEnd);
        ProxyFixture setup =
                new ProxyFixture().node(silent).set("classes.0.late-share", "0").set("classes.0.promise", "300.0");
        try (ProxyFixture fixture = setup.start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mg 7f3a v O1 Pc=text,d=60000\r\n");
            assertThat(client.line()).startsWith("SERVER_ERROR busy");
        }
    }

    @Test
    void aRejectionSaysWhenToRetry() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture().start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            assertThat(client.line())
                    .isEqualTo("SERVER_ERROR busy 500"); // half of 2.5 s, capped at caps.max-retry-after
        }
    }

    /**
     * Without hedging, an attempt on a shared connection can't be abandoned for another: it stays in flight until the
     * connection ends, as other attempts wait there. The node accepts one connection, so that they share it.
     */
    @Test
    void withoutHedgingNoAttemptFollowsOneThatIsInFlight() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch refusing = new CountDownLatch(1);
        FakeServer[] shared = new FakeServer[1];
        shared[0] = new FakeServer(c -> {
            String first = c.command();
            shared[0].stopListening();
            refusing.countDown();
            String second = c.command();
            release.await();
            c.send(hit(first) + hit(second));
            c.awaitEnd();
        });
        FakeServer quick = FakeServer.node(UpstreamTest::hit);
        FakeServer mute = new FakeServer(FakeServer.Connection::awaitEnd);
        // The third request serves as a timer: it would be abandoned later than the others.
        ProxyFixture setup = new ProxyFixture()
                .node(shared[0])
                .node(quick)
                .node(mute)
                .set("caps.second-copies", "false")
                .set("classes.0.promise", "4000.0");
        try (ProxyFixture fixture = setup.start();
                ProxyFixture.Client one = fixture.client()) {
            one.send("mg " + Keys.ranked(1, 2, 3) + " v O1 Pc=text,d=20000\r\n");
            refusing.await();
            shared[0].nextCommand();
            ProxyFixture.Client two = fixture.client().send("mg " + Keys.ranked(1, 2, 3) + " v O2 Pc=text,d=20000\r\n");
            shared[0].nextCommand();
            ProxyFixture.Client clock =
                    fixture.client().send("mg " + Keys.ranked(3, 2, 1) + " v O3 Pc=text,d=20000\r\n");
            assertThat(clock.line()).isEqualTo("VA 5 O3");
            assertThat(quick.commands).hasSize(1);
            release.countDown();
            assertThat(one.line()).isEqualTo("VA 5 O1");
            assertThat(two.line()).isEqualTo("VA 5 O2");
            assertThat(quick.commands).hasSize(1);
        }
    }

    /**
     * As above, with a connection per request: an abandoned attempt ends with its connection, and another may follow.
     */
    @Test
    void withoutHedgingEachRequestHasItsOwnConnection() throws Exception {
        int many = 5; // the number of attempts that a newly started proxy may abandon for another server
        CountDownLatch ended = new CountDownLatch(many);
        FakeServer mute = new FakeServer(c -> {
            c.command();
            c.awaitEnd();
            ended.countDown();
        });
        ProxyFixture setup = new ProxyFixture()
                .node(mute)
                .node(FakeServer.node(UpstreamTest::hit))
                .set("caps.second-copies", "false")
                .set("classes.0.promise", "4000.0")
                .set("balancers", "60");
        try (ProxyFixture fixture = setup.start()) {
            ProxyFixture.Client[] clients = new ProxyFixture.Client[many];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client().send("mg " + Keys.ranked(1, 2) + " v O" + i + " Pc=text,d=20000\r\n");
            }
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
            for (int i = 0; i < clients.length; i++) {
                assertThat(clients[i].line()).isEqualTo("VA 5 O" + i);
            }
        }
    }

    /**
     * A response without a length ends with its connection: it is complete if the origin closes it in an orderly way,
     * not if the proxy closes it or the connection is reset.
     */
    @Test
    void aResponseWithoutLengthIsCompleteOnlyIfItsServerClosesOrderly() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        FakeServer complete = new FakeServer(c -> {
            c.request();
            c.send(head + "receipt");
        });
        CountDownLatch ended = new CountDownLatch(1);
        FakeServer stalled = new FakeServer(c -> {
            c.request();
            c.send(head + "rec");
            c.awaitEnd();
            ended.countDown();
        });
        FakeServer reset = new FakeServer(c -> {
            c.request();
            c.send(head + "rec");
            c.pause.acquire();
            c.reset();
        });
        String write = "ms 7f3a 5 O1 Pc=fix,d=20000\r\nhello\r\n";
        try (ProxyFixture fixture = new ProxyFixture().origin(complete).start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(client.send(write).line()).isEqualTo("HD O1 creceipt");
        }
        try (ProxyFixture fixture = new ProxyFixture().origin(stalled).start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(client.send(write).line()).isEqualTo("SERVER_ERROR failed");
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        }
        try (ProxyFixture fixture = new ProxyFixture().origin(reset).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send(write);
            reset.nextCommand();
            fixture.client().send("mn\r\n").line(); // the event loop has completed an iteration
            reset.accepted.take().pause.release();
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
        }
    }
}

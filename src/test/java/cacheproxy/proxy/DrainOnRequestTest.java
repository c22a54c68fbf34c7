package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import cacheproxy.drain.DrainPlan;
import cacheproxy.drain.DrainStateMachine;
import cacheproxy.drain.DrainStateMachine.Phase;
import cacheproxy.proxy.protocol.MetaCodec;
import com.google.gson.JsonArray;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An operator's drain on sockets: outstanding requests are answered, and a cancel restores full service. */
@Timeout(60)
class DrainOnRequestTest {
    /** Far longer than any step takes. */
    private static final double LONG_MS = 12_000;

    private static final int LONG_VALUE = 4_000_000;

    private static DrainStateMachine.StartResult drain(ProxyFixture fixture, double deadlineMs) {
        return fixture.onEventLoop(() -> fixture.proxy.startDrain(deadlineMs));
    }

    private static DrainStateMachine.Progress progress(ProxyFixture fixture) {
        return fixture.onEventLoop(fixture.proxy::drainProgress);
    }

    private static void awaitPhase(ProxyFixture fixture, Phase phase) {
        Await.until("the proxy is " + phase, () -> progress(fixture).phase() == phase);
    }

    private static String hit(String command) {
        return "VA 5 O" + FakeServer.id(command) + " h1\r\nhello\r\n";
    }

    /** A node that answers a command for each permit. */
    private static FakeServer held(CountDownLatch release) throws Exception {
        return new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                release.await();
                c.send(hit(line));
            }
        });
    }

    private static FakeServer longValues() throws Exception {
        return new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                c.send("VA " + LONG_VALUE + " O" + FakeServer.id(line) + " h1\r\n" + "x".repeat(LONG_VALUE) + "\r\n");
            }
        });
    }

    @Test
    void pipelinedRequestsAreAllAnsweredBeforeTheirConnectionCloses() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = held(release);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            node.nextCommand();
            drain(fixture, LONG_MS);
            client.read("2").read("3"); // after the drain began, on a connection with an outstanding answer
            Await.until(
                    "all three requests are open",
                    () -> fixture.onEventLoop(fixture.proxy::status).openRequests() == 3);
            release.countDown();
            for (String id : new String[] {"1", "2", "3"}) {
                assertThat(client.line()).isEqualTo("VA 5 O" + id);
                client.line();
            }
            assertThat(client.isAtEnd()).isTrue();
            awaitPhase(fixture, Phase.DRAINED);
            assertThat(progress(fixture).completedFraction()).isEqualTo(1);
        }
    }

    @Test
    void aPartlyReceivedWriteIsServed() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(200, "", "r1");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mn\r\nms 7f3a 5 O1 Pc=fix,d=20000\r\nhel");
            assertThat(client.line()).isEqualTo("MN");
            drain(fixture, LONG_MS);
            Await.until(
                    "the time to close idle connections has passed",
                    () -> progress(fixture).remainingMs() >= 0
                            && fixture.onEventLoop(fixture.proxy::status).clientConnections() == 1);
            client.send("lo\r\n");
            assertThat(client.line()).isEqualTo("HD O1 cr1");
            assertThat(client.isAtEnd()).isTrue();
            awaitPhase(fixture, Phase.DRAINED);
        }
    }

    @Test
    void aLongResponseInProgressIsForwardedToItsEnd() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        int length = 300_000;
        FakeServer node = new FakeServer(c -> {
            String line = c.command();
            c.send("VA " + length + " O" + FakeServer.id(line) + " h1\r\n" + "x".repeat(length / 2));
            release.await();
            c.send("x".repeat(length / 2) + "\r\n");
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + length + " O1");
            drain(fixture, LONG_MS);
            release.countDown();
            assertThat(client.bytes(length)).hasSize(length);
            assertThat(client.line()).isEmpty();
            assertThat(client.isAtEnd()).isTrue();
        }
    }

    @Test
    void newConnectionsAreServedAndThenEndedAndClientsThatAskAreTold() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(FakeServer.node(DrainOnRequestTest::hit))
                        .start();
                ProxyFixture.Client busy = fixture.client()) {
            busy.send("m"); // an incomplete command keeps the drain going
            Await.until(
                    "the client is connected",
                    () -> fixture.onEventLoop(fixture.proxy::status).clientConnections() == 1);
            drain(fixture, LONG_MS);
            try (ProxyFixture.Client late = fixture.client()) {
                late.send("mn\r\n").read("1");
                assertThat(late.line()).isEqualTo("SERVER_ERROR draining");
                assertThat(late.line()).isEqualTo("VA 5 O1");
                late.line();
                assertThat(late.isAtEnd()).isTrue();
            }
            busy.send("n\r\n");
            assertThat(busy.line()).isEqualTo("SERVER_ERROR draining");
            assertThat(busy.isAtEnd()).isTrue();
        }
    }

    @Test
    void aCancelHalfwayRestoresFullServiceAndASecondDrainWorks() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()
                .node(FakeServer.node(DrainOnRequestTest::hit))
                .start()) {
            ProxyFixture.Client[] clients = new ProxyFixture.Client[40];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client();
                clients[i].send("mn\r\n").line();
            }
            drain(fixture, LONG_MS); // its pace is 5 s
            Await.until(
                    "half of the connections are closed",
                    () -> fixture.onEventLoop(fixture.proxy::status).clientConnections() <= 20);
            assertThat(fixture.onEventLoop(fixture.proxy::cancelDrain)).isNull();
            int left = fixture.onEventLoop(fixture.proxy::status).clientConnections();
            assertThat(left).isPositive();
            int serving = 0;
            for (ProxyFixture.Client c : clients) {
                c.read("c" + serving);
                if (c.line() != null) {
                    c.line();
                    c.send("mn\r\n");
                    assertThat(c.line()).isEqualTo("MN");
                    serving++;
                }
            }
            int stay = serving;
            assertThat(stay).isBetween(1, left);
            Await.until(
                    "only the kept connections are open",
                    () -> fixture.onEventLoop(fixture.proxy::status).clientConnections() == stay);
            try (ProxyFixture.Client late = fixture.client()) {
                late.read("x");
                assertThat(late.line()).isEqualTo("VA 5 Ox");
                late.line();
                late.read("y");
                assertThat(late.line()).isEqualTo("VA 5 Oy");
                assertThat(progress(fixture).phase()).isEqualTo(Phase.SERVING);
                assertThat(drain(fixture, LONG_MS).alreadyDraining()).isFalse();
            }
            awaitPhase(fixture, Phase.DRAINED);
            assertThat(fixture.onEventLoop(fixture.proxy::cancelDrain)).contains("too late");
        }
    }

    /** The connection is never idle, so the paced closing of idle connections doesn't end it. */
    @Test
    void aBusyConnectionClosesWithItsAnswerAfterTheIdleClosePeriod() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = held(release);
        double deadlineMs = 10_000;
        double paceMs = DrainPlan.requested(deadlineMs).idleClosePeriodMs();
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            node.nextCommand();
            drain(fixture, deadlineMs);
            Await.until(
                    "the period for closing idle connections is over",
                    () -> progress(fixture).deadlineRemainingMs() < deadlineMs - paceMs - 200);
            release.countDown();
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            client.send("mn\r\n");
            assertThat(client.isAtEnd()).as("closed with its answer, not later").isTrue();
        }
    }

    /**
     * Whichever comes first, the request gets exactly one answer: its own after a cancel, a rejection after the
     * deadline.
     */
    @Test
    void aCancelRacingTheDeadlineHasOneOfBothOutcomes() throws Exception {
        int deadlineMs = 100;
        for (int offset = -6; offset <= 6; offset += 2) {
            CountDownLatch release = new CountDownLatch(1);
            try (ProxyFixture fixture = new ProxyFixture().node(held(release)).start();
                    ProxyFixture.Client client = fixture.client()) {
                client.read("1");
                Await.until(
                        "the request is open",
                        () -> fixture.onEventLoop(fixture.proxy::status).openRequests() == 1);
                CompletableFuture<String> cancelled = new CompletableFuture<>();
                int after = deadlineMs + offset;
                fixture.onEventLoop(() -> {
                    fixture.proxy
                            .loop()
                            .schedule(
                                    () -> cancelled.complete(String.valueOf(fixture.proxy.cancelDrain())),
                                    after,
                                    TimeUnit.MILLISECONDS);
                    return fixture.proxy.startDrain(deadlineMs);
                });
                if (cancelled.get(30, TimeUnit.SECONDS).equals("null")) {
                    assertThat(progress(fixture).phase()).isEqualTo(Phase.SERVING);
                    release.countDown();
                    assertThat(client.line()).isEqualTo("VA 5 O1");
                    client.line();
                    client.send("mn\r\n");
                    assertThat(client.line()).isEqualTo("MN");
                } else {
                    assertThat(cancelled.get()).contains("too late");
                    assertThat(client.line()).isEqualTo("SERVER_ERROR busy");
                    release.countDown(); // the node's late response is discarded
                    assertThat(client.isAtEnd()).isTrue();
                }
            }
        }
    }

    /** A rejection says that a retry is safe: a read gets it, a write that may have been executed does not. */
    @Test
    void atTheDeadlineOpenRequestsAreAnsweredByTheRules() throws Exception {
        FakeServer silent = new FakeServer(FakeServer.Connection::awaitEnd);
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.awaitEnd();
        });
        try (ProxyFixture fixture =
                        new ProxyFixture().node(silent).origin(origin).start();
                ProxyFixture.Client read = fixture.client().read("1");
                ProxyFixture.Client write = fixture.client()) {
            write.send("ms 7f3a 5 O2 Pc=fix,d=20000\r\nhello\r\n");
            origin.nextCommand();
            Await.until(
                    "both requests are open",
                    () -> fixture.onEventLoop(fixture.proxy::status).openRequests() == 2);
            double before = System.nanoTime() / 1e6;
            drain(fixture, 500);
            assertThat(read.line()).isEqualTo("SERVER_ERROR busy");
            assertThat(write.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(System.nanoTime() / 1e6 - before)
                    .isBetween(499.0, 15_000.0); // at the drain's deadline, not at the requests' own
            assertThat(read.isAtEnd()).isTrue();
            assertThat(write.isAtEnd()).isTrue();
            assertThat(progress(fixture).phase()).isEqualTo(Phase.EXPIRED);
        }
    }

    @Test
    void aSlowReaderGetsItsAnswersCompletely() throws Exception {
        FakeServer node = longValues();
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 10; i++) { // more than the system's own buffers take
                client.read("" + i);
            }
            Await.until(
                    "all requests are open, paused by the slow client",
                    () -> fixture.onEventLoop(fixture.proxy::status).openRequests() == 10);
            Thread end = drainAndTerminate(fixture);
            for (int i = 0; i < 10; i++) {
                assertThat(client.line()).isEqualTo("VA " + LONG_VALUE + " O" + i);
                assertThat(client.bytes(LONG_VALUE)).hasSize(LONG_VALUE);
                assertThat(client.line()).isEmpty();
            }
            assertThat(client.isAtEnd()).isTrue();
            end.join();
        }
    }

    /** Guards against closing once the last answer is in the proxy's write buffer, which truncated that answer. */
    @Test
    void answersBufferedInTheProxyReachTheirClientCompletely() throws Exception {
        String value = "x".repeat(MetaCodec.MAX_WHOLE_VALUE_BYTES);
        FakeServer node = FakeServer.node(
                line -> "VA " + value.length() + " O" + FakeServer.id(line) + " h1\r\n" + value + "\r\n");
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client first = fixture.client(1 << 16);
                ProxyFixture.Client idle = fixture.client()) {
            assertThat(idle.send("mn\r\n").line()).isEqualTo("MN");
            // Enough to fill the kernel's buffers and use the proxy's own: it then reads no further command.
            int buffered = 0;
            while (answeredSoon(fixture, buffered)) {
                first.read("f" + buffered++);
            }
            first.close();
            ProxyFixture.Client client = fixture.client(1 << 16);
            for (int i = 1; i < buffered; i++) { // one more would be a command that is not read yet
                client.read("" + i);
            }
            answeredSoon(fixture, 2 * (buffered - 1));
            Thread end = drainAndTerminate(fixture);
            assertThat(idle.isAtEnd())
                    .as("closed at once with the other connections without open requests")
                    .isTrue();
            for (int i = 1; i < buffered; i++) {
                assertThat(client.line()).isEqualTo("VA " + value.length() + " O" + i);
                assertThat(client.bytes(value.length())).hasSize(value.length());
                assertThat(client.line()).isEmpty();
            }
            end.join();
        }
    }

    /**
     * Whether this many have been answered within a time that is ample for one. On a slow machine it may return false
     * too early, which only makes the test send fewer requests.
     */
    private static boolean answeredSoon(ProxyFixture fixture, int many) throws InterruptedException {
        for (int i = 0; i < 100; i++) {
            if (fixture.onEventLoop(fixture.proxy::status).completedRequests() >= many) {
                return true;
            }
            Thread.sleep(5);
        }
        return false;
    }

    /** Starts the SIGTERM shutdown, which closes connections at once; returns when the proxy has stopped listening. */
    private static Thread drainAndTerminate(ProxyFixture fixture) {
        drain(fixture, LONG_MS);
        Thread end = new Thread(fixture.proxy::terminate);
        end.start();
        Await.until("the listening period after SIGTERM is over", () -> {
            try {
                fixture.client().close();
                return false;
            } catch (ConnectException e) {
                return true;
            }
        });
        return end;
    }

    @Test
    void aClientThatNeverReadsDelaysTheEndUntilTheDeadlineOnly() throws Exception {
        FakeServer node = longValues();
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < 10; i++) { // more than the system's own buffers take
                client.read("" + i);
            }
            node.nextCommand();
            drain(fixture, 700);
            awaitPhase(fixture, Phase.EXPIRED);
            fixture.proxy.terminate(); // returns when the proxy has stopped
        }
    }

    @Test
    void sigtermDuringADrainTakesOver() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = held(release);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            node.nextCommand();
            drain(fixture, LONG_MS);
            Thread end = new Thread(fixture.proxy::terminate);
            end.start();
            Await.until(
                    "the drain can no longer be cancelled",
                    () -> String.valueOf(fixture.onEventLoop(fixture.proxy::cancelDrain))
                            .contains("told to end"));
            release.countDown();
            assertThat(client.line()).isEqualTo("VA 5 O1");
            client.line();
            assertThat(client.isAtEnd()).isTrue();
            end.join();
        }
    }

    @Test
    void everyRequestIsAnsweredThoughTheLastServerIsRemovedMeanwhile() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeServer node = held(release);
        JsonArray drained = new JsonArray();
        drained.add(ProxyFixture.host("s-00000001", "node-fast", node.dial(), "draining"));
        CountDownLatch tell = new CountDownLatch(1);
        FakeServer discovery = new FakeServer(c -> {
            while (c.request() != null) {
                tell.await();
                c.sendHttp(200, "", ProxyFixture.list(42, false, drained).toString());
            }
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .discovery(discovery)
                        .set("discovery", "push")
                        .start();
                ProxyFixture.Client before = fixture.client()) {
            before.read("1");
            node.nextCommand();
            drain(fixture, LONG_MS);
            tell.countDown();
            Await.until("discovery has been asked twice", () -> discovery.commands.size() >= 2);
            try (ProxyFixture.Client after = fixture.client()) {
                after.send("mg 7f3a9c21e0b4d655 v O2 Pc=text,d=1000\r\n");
                assertThat(after.line()).matches("SERVER_ERROR .*|VA 5 O2");
            }
            release.countDown();
            assertThat(before.line()).isEqualTo("VA 5 O1");
            awaitPhase(fixture, Phase.DRAINED);
        }
    }
}

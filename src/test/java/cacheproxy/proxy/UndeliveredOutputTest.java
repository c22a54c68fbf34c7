package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against resets that discard what clients still read: output counted as delivered once the kernel had it, the
 * socket was closed, and the client's next command met it closed.
 */
@Timeout(60)
class UndeliveredOutputTest {
    private static final int VALUE_BYTES = 1 << 20;
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    /** Longer than the proxy waited for a client to close its connection. */
    private static final long CLOSED_AFTER_MS = 1100;
    /** Values that together exceed what the kernel buffers. */
    private static final int PIPELINED = 8;
    /** Checks for clients that have stalled, and the time of the proxy's clock between two, in milliseconds. */
    private static final int CHECKS = 8;

    private static final double CHECK_INTERVAL_MS = 6000;
    private static final long ACKNOWLEDGED_AFTER_MS = 50;

    /** A node that sends half of the values whose ids begin with "broken", and resets the connection on a signal. */
    private static FakeServer node(CountDownLatch breakOff) throws Exception {
        return new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                String id = FakeServer.id(line);
                boolean broken = id.startsWith("broken");
                c.send("VA " + VALUE_BYTES + " O" + id + " h1\r\n" + "x".repeat(VALUE_BYTES / (broken ? 2 : 1)));
                if (broken) {
                    breakOff.await();
                    c.reset();
                    return;
                }
                c.send("\r\n");
            }
        });
    }

    private static ProxyFixture fixture(CountDownLatch breakOff) throws Exception {
        return new ProxyFixture().node(node(breakOff)).start();
    }

    private static void awaitCompleted(ProxyFixture fixture) {
        Await.until(
                "the proxy has written the value",
                () -> fixture.onEventLoop(() -> fixture.proxy.dispatcher().completedRequests()) == 1);
    }

    private static void assertValue(ProxyFixture.Client client, String id) throws Exception {
        assertThat(client.line()).isEqualTo("VA " + VALUE_BYTES + " O" + id);
        assertThat(client.bytes(VALUE_BYTES)).hasSize(VALUE_BYTES);
        assertThat(client.line()).isEmpty();
    }

    /** review/10: the value has to come whole, and the command that was sent meanwhile has to be answered. */
    @Test
    void aRestartLeavesAConnectionOpenWhileItsClientReads() throws Exception {
        try (ProxyFixture fixture = fixture(new CountDownLatch(0));
                ProxyFixture.Client client = fixture.client(RECEIVE_BUFFER_BYTES)) {
            client.read("1");
            awaitCompleted(fixture);
            Thread ending = new Thread(fixture.proxy::terminate, "ending");
            ending.start();
            TimeUnit.MILLISECONDS.sleep(CLOSED_AFTER_MS);
            client.read("2");
            assertValue(client, "1");
            assertValue(client, "2");
            assertThat(client.isAtEnd()).isTrue();
            ending.join();
        }
    }

    @Test
    void anInvalidCommandClosesTheConnectionBehindWhatItsClientReads() throws Exception {
        try (ProxyFixture fixture = fixture(new CountDownLatch(0));
                ProxyFixture.Client client = fixture.client(RECEIVE_BUFFER_BYTES)) {
            client.read("1");
            awaitCompleted(fixture);
            client.send("ms 7f3a -5 O1 Pc=fix,d=500\r\n");
            TimeUnit.MILLISECONDS.sleep(CLOSED_AFTER_MS);
            client.send("more");
            assertValue(client, "1");
            assertThat(client.line()).startsWith("CLIENT_ERROR");
            assertThat(client.isAtEnd()).isTrue();
        }
    }

    @Test
    void aValueThatBreaksOffEndsTheConnectionBehindEarlierResponses() throws Exception {
        CountDownLatch breakOff = new CountDownLatch(1);
        try (ProxyFixture fixture = fixture(breakOff);
                ProxyFixture.Client client = fixture.client(RECEIVE_BUFFER_BYTES)) {
            client.read("1");
            awaitCompleted(fixture);
            client.read("broken");
            Await.until(
                    "the second value has begun",
                    () -> fixture.onEventLoop(fixture.proxy::status).openRequests() == 1);
            breakOff.countDown();
            TimeUnit.MILLISECONDS.sleep(CLOSED_AFTER_MS);
            client.send("mn\r\n");
            assertValue(client, "1");
            assertThat(client.line()).isEqualTo("VA " + VALUE_BYTES + " Obroken");
            assertThat(client.bytes(VALUE_BYTES).length).isLessThan(VALUE_BYTES);
        }
    }

    /** An operator's drain and the closing of idle connections to make room ask the same. */
    @Test
    void aConnectionWhoseClientStillReadsIsNotClosedAsIdle() throws Exception {
        try (ProxyFixture fixture = fixture(new CountDownLatch(0));
                ProxyFixture.Client client = fixture.client(RECEIVE_BUFFER_BYTES)) {
            client.read("1");
            awaitCompleted(fixture);
            fixture.onEventLoop(() -> {
                fixture.proxy.clientAcceptor().closeIdle(1);
                fixture.proxy.clientAcceptor().closeMostRecentlyUsed(1);
                return null;
            });
            TimeUnit.MILLISECONDS.sleep(CLOSED_AFTER_MS);
            client.read("2");
            assertValue(client, "1");
            assertValue(client, "2");
        }
    }

    /**
     * review/9: a slow client was taken for one that reads nothing, as the kernel takes further output only once a
     * third of its buffer is free.
     */
    @Test
    void aClientThatReadsSlowlyIsNotTakenForOneThatReadsNothing() throws Exception {
        try (ProxyFixture fixture =
                        new ProxyFixture().node(node(new CountDownLatch(0))).start();
                ProxyFixture.Client client = fixture.client(RECEIVE_BUFFER_BYTES)) {
            for (int i = 0; i < PIPELINED; i++) {
                client.read(Integer.toString(i));
            }
            double began = fixture.onEventLoop(() -> fixture.proxy.dispatcher().now());
            TimeUnit.MILLISECONDS.sleep(CLOSED_AFTER_MS);
            assertThat(client.line()).isEqualTo("VA " + VALUE_BYTES + " O0");
            for (int check = 1; check <= CHECKS; check++) {
                double now = began + check * CHECK_INTERVAL_MS;
                assertThat(client.bytes(VALUE_BYTES / CHECKS)).hasSize(VALUE_BYTES / CHECKS);
                TimeUnit.MILLISECONDS.sleep(ACKNOWLEDGED_AFTER_MS);
                fixture.onEventLoop(() -> {
                    fixture.proxy.clientAcceptor().closeStalled(now);
                    return null;
                });
            }
            assertThat(client.line()).isEmpty();
            for (int i = 1; i < PIPELINED; i++) {
                assertValue(client, Integer.toString(i));
            }
        }
    }
}

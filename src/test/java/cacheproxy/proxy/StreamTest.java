package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.protocol.DeadlineTemplate;
import cacheproxy.proxy.protocol.FlowControl;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.RequestParameters;
import cacheproxy.proxy.protocol.ServerResponse;
import cacheproxy.route.Routing;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Values over 64 KiB: streamed as they arrive, and paused while the client does not read. */
class StreamTest {
    private static final byte[] VALUE = new byte[MetaCodec.MAX_VALUE_BYTES];

    static {
        new Random(7).nextBytes(VALUE);
    }

    private static final int QUIET_MS = 200;
    /** Upper bound of what the proxy itself may buffer. */
    private static final long PROXY_BUFFER_BYTES = 8L << 20;

    private static final long DEFAULT_SOCKET_BUFFER_BYTES = 32L << 20;

    /** Capacity of all buffers between a node and a client: the kernel's on both connections, and the proxy's. */
    private static long bufferCapacity() throws IOException {
        return 2 * (maxSocketBufferBytes("tcp_rmem") + maxSocketBufferBytes("tcp_wmem")) + PROXY_BUFFER_BYTES;
    }

    /** The kernel's limit for a socket buffer; it differs by a factor of five between kernels. */
    private static long maxSocketBufferBytes(String buffer) throws IOException {
        Path limits = Path.of("/proc/sys/net/ipv4", buffer);
        if (!Files.isReadable(limits)) {
            return DEFAULT_SOCKET_BUFFER_BYTES;
        }
        try (Stream<String> lines =
                Files.lines(limits)) { // reads the file in one call, as the kernel expects for sysctl files
            return Long.parseLong(lines.findFirst().orElseThrow().split("\\s+")[2]);
        }
    }

    private static void head(FakeServer.Connection c, String command) throws IOException {
        c.send("VA " + VALUE.length + " O" + FakeServer.id(command) + " h1\r\n");
    }

    @Test
    void aLongValueOfANodeIsStreamedCompletelyAndTheNextResponseAfterIt() throws Exception {
        FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                head(c, line);
                c.out.write(VALUE);
                c.send("\r\n");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1").read("2");
            for (String id : new String[] {"1", "2"}) {
                assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + id);
                assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
                assertThat(client.line()).isEmpty();
            }
        }
    }

    /** Accepts a long response and has no room left when its end arrives. */
    private static final class Full implements ResponseWriter {
        private final CompletableFuture<String> ended = new CompletableFuture<>();
        private FlowControl flow;

        @Override
        public void detectDisconnect() {
            // this client stays
        }

        @Override
        public boolean claimMemory() {
            return true;
        }

        @Override
        public void returnMemory() {
            // it has no limit
        }

        @Override
        public void beginValue(int length, FlowControl from) {
            flow = from;
        }

        @Override
        public void writePart(ByteBuf part) {
            part.release();
        }

        @Override
        public void endValue() {
            flow.setPaused(true);
            ended.complete("whole");
        }

        @Override
        public void writeResponse(ServerResponse answer) {
            answer.release();
            ended.complete("short");
        }

        @Override
        public void reject(double retryAfterMs) {
            ended.complete("refused");
        }

        @Override
        public void fail() {
            ended.complete("failed");
        }

        @Override
        public void rejectInvalid(String why) {
            ended.complete(why);
        }

        @Override
        public void abort() {
            ended.complete("broken off");
        }
    }

    /**
     * Guards against a node's connection that stays paused because the client had no room for the end of a response:
     * the response behind it never arrived, and ten seconds later that client's connection was closed.
     */
    @Test
    void aResponseBehindAStreamedOneArrivesThoughItsClientWasSlow() throws Exception {
        Semaphore next = new Semaphore(0);
        FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                next.acquire(); // no part of a response arrives with the end of the previous one
                head(c, line);
                c.out.write(VALUE);
                c.send("\r\n");
            }
        });
        try (ProxyFixture fixture =
                new ProxyFixture().node(node).set("balancers", "60").start()) { // one connection per node
            for (int i = 0; i < 3; i++) {
                Full client = new Full();
                RequestCommand read = new RequestCommand(
                        Routing.META_FRONT,
                        "7f3a",
                        "" + i,
                        false,
                        new RequestParameters("text", null, 20_000, Double.NaN, 0, false),
                        new DeadlineTemplate("c=text,d=", ""),
                        new DeadlineTemplate("mg 7f3a v O" + i + " Pc=text,d=", ""));
                fixture.onEventLoop(() -> {
                    fixture.proxy
                            .dispatcher()
                            .accept(new ClientRequest(
                                    client, read, fixture.proxy.dispatcher().now()));
                    return null;
                });
                next.release();
                assertThat(client.ended.get(15, TimeUnit.SECONDS))
                        .as("answer %d", i)
                        .isEqualTo("whole");
            }
        }
    }

    @Test
    void aLongValueOfTheOriginIsStreamedCompletely() throws Exception {
        FakeServer origin = new FakeServer(c -> {
            c.request();
            c.send("HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length + "\r\n\r\n");
            c.out.write(VALUE);
            c.out.flush();
            c.awaitEnd();
        });
        FakeServer node = FakeServer.node(line -> "EN O" + FakeServer.id(line) + " h0\r\n");
        try (ProxyFixture fixture = new ProxyFixture().node(node).origin(origin).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            assertThat(client.bytes(VALUE.length)).isEqualTo(VALUE);
        }
    }

    @Test
    void theFirstBytesDoNotWaitForTheLast() throws Exception {
        CountDownLatch firstPartRead = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            head(c, c.command());
            c.out.write(VALUE, 0, 1000);
            c.out.flush();
            firstPartRead.await();
            c.out.write(VALUE, 1000, VALUE.length - 1000);
            c.send("\r\n");
            c.awaitEnd();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1").line();
            assertThat(client.bytes(1000)).hasSize(1000);
            firstPartRead.countDown();
            assertThat(client.bytes(VALUE.length - 1000)).hasSize(VALUE.length - 1000);
        }
    }

    @Test
    void aClientThatDoesNotReadPausesReadingFromTheNode() throws Exception {
        AtomicLong sent = new AtomicLong();
        CountDownLatch over = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                head(c, line);
                for (int at = 0; at < VALUE.length; at += 1 << 14) {
                    c.out.write(VALUE, at, 1 << 14);
                    sent.addAndGet(1 << 14);
                }
                c.send("\r\n");
            }
            over.countDown();
        });
        long room = bufferCapacity();
        int values = (int) (2 * room / VALUE.length);
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            for (int i = 0; i < values; i++) {
                client.read(Integer.toString(i));
            }
            client.line();
            client.bytes(VALUE.length);
            for (long before = -1; before != sent.get(); Thread.sleep(QUIET_MS)) {
                before = sent.get(); // without back pressure the proxy would read all values to their end
            }
            assertThat(sent.get() - VALUE.length).isLessThan(room);
            client.line();
            for (int i = 1; i < values; i++) {
                assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O" + i);
                client.bytes(VALUE.length + 2);
            }
        }
    }

    @Test
    void aTruncatedValueClosesTheClientsConnectionAndNoOther() throws Exception {
        FakeServer node = new FakeServer(c -> {
            head(c, c.command());
            c.out.write(VALUE, 0, 100_000);
            c.out.flush();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            assertThat(client.bytes(VALUE.length).length).isLessThan(VALUE.length);
            assertThat(fixture.client().send("mn\r\n").line()).isEqualTo("MN");
        }
    }

    @Test
    void aClientThatDisconnectsWhileStreamingReleasesTheNodesConnection() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        FakeServer node = new FakeServer(c -> {
            head(c, c.command());
            c.out.write(VALUE, 0, 100_000);
            c.out.flush();
            c.awaitEnd();
            ended.countDown();
        });
        try (ProxyFixture fixture = new ProxyFixture().node(node).start()) {
            ProxyFixture.Client client = fixture.client();
            client.read("1").line();
            client.close();
            assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** A node that sends the first half of a long value for id 1, and resets the connection once told to. */
    private static FakeServer nodeThatBreaksOff(CountDownLatch reset) throws IOException {
        return new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                if (FakeServer.id(line).equals("1")) {
                    head(c, line);
                    c.out.write(VALUE, 0, VALUE.length / 2);
                    c.out.flush();
                    reset.await();
                    c.reset();
                    return;
                }
                c.send("VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
            }
        });
    }

    private static FakeServer originForWrites(CountDownLatch answered) throws IOException {
        return new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                c.sendHttp(200, "", "r" + FakeServer.id(request));
                answered.countDown();
            }
        });
    }

    /**
     * Guards against requests without a response: a value that broke off closed its client's connection, although other
     * requests of the client, a write that had been executed among them, waited behind it.
     */
    @Test
    void requestsBehindAValueThatBreaksOffGetTheirResponses() throws Exception {
        CountDownLatch writeAnswered = new CountDownLatch(1);
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(nodeThatBreaksOff(writeAnswered))
                        .origin(originForWrites(writeAnswered))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mg key1 v O1 Pc=text,d=20000\r\nmg key2 v O2 Pc=text,d=20000\r\n"
                    + "ms key3 5 O3 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(client.line()).isEqualTo("VA 5 O2");
            assertThat(client.line()).isEqualTo("hello");
            assertThat(client.line()).isEqualTo("HD O3 cr3");
        }
    }

    /** Guards against forwarding a write whose response could not be written if the value before it broke off. */
    @Test
    void aCommandBehindAValueThatHasBegunIsNotForwardedBeforeItsEnd() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        FakeServer origin = originForWrites(new CountDownLatch(1));
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(nodeThatBreaksOff(reset))
                        .origin(origin)
                        .start();
                ProxyFixture.Client client = fixture.client();
                ProxyFixture.Client other = fixture.client()) {
            client.read("1");
            assertThat(client.line()).isEqualTo("VA " + VALUE.length + " O1");
            client.send("ms key3 5 O3 Pc=fix,d=20000\r\nhello\r\n");
            other.send("mn\r\n").line(); // answered after the sockets have been polled
            reset.countDown();
            int received = 0;
            try {
                received = client.bytes(VALUE.length).length;
            } catch (IOException e) {
                // closing a connection with unread input resets it
            }
            assertThat(received).isLessThan(VALUE.length);
            assertThat(origin.commands).isEmpty();
        }
    }

    /** Guards against an answer after the request's time: a held value that does not become complete is given up. */
    @Test
    void aHeldValueFailsAtItsDeadlineAndTheResponseBehindItFollows() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(nodeThatBreaksOff(never))
                        .origin(originForWrites(new CountDownLatch(1)))
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            long sentNanos = System.nanoTime();
            client.send("mg key1 v O1 Pc=text,d=300\r\nms key3 5 O3 Pc=fix,d=20000\r\nhello\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
                    .isBetween(200L, 800L);
            assertThat(client.line()).isEqualTo("HD O3 cr3");
        }
    }
}

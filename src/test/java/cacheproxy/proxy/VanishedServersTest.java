package cacheproxy.proxy;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Servers that vanish within a long value: what the list says of them afterwards must not keep its client waiting. */
@Timeout(60)
class VanishedServersTest {
    private static final int VALUE_BYTES = 1 << 20;
    private static final int SENT_BYTES = 100_000;
    private static final int TIMEOUT_MS = 3000;
    /** How long after its time a final answer may come. */
    private static final int ANSWER_SLACK_MS = 500;

    /** What the list says of a server after it has vanished. */
    enum Change {
        REMOVED,
        DRAINING,
        MOVED,
        RESTARTED;

        void applyTo(JsonObject host) {
            switch (this) {
                case REMOVED -> host.addProperty("health", "removed");
                case DRAINING -> host.addProperty("health", "draining");
                case MOVED -> host.addProperty("dial", "127.0.0.1:9");
                case RESTARTED -> host.addProperty("born_ms", 1000);
            }
        }
    }

    private final CountDownLatch report = new CountDownLatch(1);

    /** Sends the beginning of a long value for the first read, and says nothing from then on. */
    private FakeServer vanishingNode() throws IOException {
        return new FakeServer(c -> {
            c.send("VA " + VALUE_BYTES + " O" + FakeServer.id(c.command()) + " h1\r\n");
            c.out.write(new byte[SENT_BYTES]);
            c.out.flush();
            c.awaitEnd();
        });
    }

    private FakeServer vanishingOrigin() throws IOException {
        return new FakeServer(c -> {
            c.request();
            c.send("HTTP/1.1 200 OK\r\nContent-Length: " + VALUE_BYTES + "\r\n\r\n");
            c.out.write(new byte[SENT_BYTES]);
            c.out.flush();
            c.awaitEnd();
        });
    }

    /** Reports the changed host once told to. */
    private FakeServer discovery(JsonObject host, Change change) throws IOException {
        JsonObject changed = host.deepCopy();
        change.applyTo(changed);
        JsonArray hosts = new JsonArray();
        hosts.add(changed);
        return new FakeServer(c -> {
            c.request();
            report.await();
            c.sendHttp(200, "", ProxyFixture.list(43, false, hosts).toString());
            c.request();
            c.awaitEnd();
        });
    }

    /** Has the change reported while the first client is passed the value, and waits until it is in use. */
    private void change(FakeServer discovery, ProxyFixture.Client client) throws Exception {
        assertThat(discovery.nextCommand()).contains("since=41&");
        client.read("1");
        assertThat(client.line()).isEqualTo("VA " + VALUE_BYTES + " O1");
        assertThat(client.bytes(SENT_BYTES)).hasSize(SENT_BYTES);
        report.countDown();
        assertThat(discovery.nextCommand()).contains("since=43&");
    }

    private static JsonObject nodeHost(FakeServer node) {
        return ProxyFixture.host("s-00000001", "node-fast", node.dial(), "up");
    }

    private static JsonObject originHost(FakeServer origin) {
        return ProxyFixture.host("s-0000aaaa", "origin", origin.dial(), "up");
    }

    /** Starts a proxy that knows the host as it is, and asks this discovery. */
    private static ProxyFixture start(JsonObject host, FakeServer discovery) throws Exception {
        return new ProxyFixture()
                .host(host)
                .discovery(discovery)
                .set("guarantees.ask-within", "200.0")
                .start();
    }

    private void assertValueEnds(JsonObject host, Change change) throws Exception {
        FakeServer discovery = discovery(host, change);
        try (ProxyFixture started = start(host, discovery);
                ProxyFixture.Client client = started.client()) {
            change(discovery, client);
            assertThat(client.bytes(VALUE_BYTES).length).isLessThan(VALUE_BYTES);
        }
    }

    /** Sends a command to a server that vanishes without a byte; it has to be answered in its time of 3 s. */
    private void assertAnswered(JsonObject host, Change change, FakeServer vanishing, byte[] command) throws Exception {
        FakeServer discovery = discovery(host, change);
        try (ProxyFixture started = start(host, discovery);
                ProxyFixture.Client client = started.client()) {
            assertThat(discovery.nextCommand()).contains("since=41&");
            long sentNanos = System.nanoTime();
            client.send(command);
            vanishing.nextCommand();
            report.countDown();
            assertThat(client.line()).startsWith("SERVER_ERROR");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
                    .isLessThan(TIMEOUT_MS + ANSWER_SLACK_MS);
        }
    }

    /** A server that takes the first line of what it is sent, and nothing more. */
    private static FakeServer silentServer() throws IOException {
        return new FakeServer(c -> {
            c.command();
            c.pause.acquire();
        });
    }

    /** Guards against a value that is never ended, as nobody looked at the connections of a server out of the list. */
    @ParameterizedTest
    @EnumSource
    void aValueOfANodeThatHasVanishedEndsWhateverTheListSaysOfIt(Change change) throws Exception {
        try (FakeServer node = vanishingNode()) {
            assertValueEnds(nodeHost(node), change);
        }
    }

    @ParameterizedTest
    @EnumSource
    void aValueOfAnOriginThatHasVanishedEndsWhateverTheListSaysOfIt(Change change) throws Exception {
        try (FakeServer origin = vanishingOrigin()) {
            assertValueEnds(originHost(origin), change);
        }
    }

    @ParameterizedTest
    @EnumSource
    void aReadOfANodeThatHasVanishedWithoutAByteIsAnsweredInTime(Change change) throws Exception {
        try (FakeServer node = silentServer()) {
            byte[] read = ("mg 7f3a9c21e0b4d655 v O1 Pc=text,d=" + TIMEOUT_MS + "\r\n").getBytes(ISO_8859_1);
            assertAnswered(nodeHost(node), change, node, read);
        }
    }

    @ParameterizedTest
    @EnumSource
    void aLongWriteToAnOriginThatHasVanishedIsAnsweredInTime(Change change) throws Exception {
        try (FakeServer origin = silentServer()) {
            String line = "ms 7f3a9c21e0b4d655 " + VALUE_BYTES + " O1 Pc=publish,d=" + TIMEOUT_MS + ",k=1\r\n";
            byte[] write = (line + "v".repeat(VALUE_BYTES) + "\r\n").getBytes(ISO_8859_1);
            assertAnswered(originHost(origin), change, origin, write);
        }
    }

    @Test
    void aValueOfANodeThatHasVanishedEndsThoughItsClassIsGoneByAReload() throws Exception {
        try (FakeServer node = vanishingNode()) {
            FakeServer discovery = discovery(nodeHost(node), Change.REMOVED);
            try (ProxyFixture started = start(nodeHost(node), discovery);
                    ProxyFixture.Client client = started.client()) {
                change(discovery, client);
                started.set("classes.0.name", "renamed").reload();
                assertThat(client.bytes(VALUE_BYTES).length).isLessThan(VALUE_BYTES);
            }
        }
    }
}

package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The timeout sent to servers: at most the client's remaining time when the attempt is sent. */
@Timeout(60)
class RemainingTimeTest {
    private static final int TIMEOUT_MS = 20_000;
    private static final Pattern DEADLINE = Pattern.compile("\\bd=(\\d+)");

    /** The timeout in a command or in a request to the origin, in milliseconds. */
    private static int sentTimeoutMs(String command) {
        Matcher deadline = DEADLINE.matcher(command);
        assertThat(deadline.find()).as(command).isTrue();
        return Integer.parseInt(deadline.group(1));
    }

    private static void write(ProxyFixture.Client client, String kind, String id) throws Exception {
        client.send("ms 7f3a9c21e0b4d655 5 O" + id + " Pk=5c0f6e1a2b3d4c59,c=" + kind + ",d=" + TIMEOUT_MS
                + ",t=acme\r\nhello\r\n");
    }

    /** A latency objective of 400 ms makes a silent node overdue after 100 ms at the earliest. */
    @Test
    void theOriginIsSentTheTimeThatRemainsAfterASilentNode() throws Exception {
        FakeServer silent = new FakeServer(c -> {
            c.command();
            c.awaitEnd();
        });
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                c.sendHttp(200, "", "fetch");
            }
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(silent)
                        .origin(origin)
                        .set("classes.0.promise", "400.0")
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            client.send("mg 7f3a9c21e0b4d655 v O1 Pc=text,t=acme,d=" + TIMEOUT_MS + ",size=5\r\n");
            assertThat(client.line()).isEqualTo("VA 5 O1");
            assertThat(sentTimeoutMs(silent.nextCommand())).isBetween(TIMEOUT_MS - 5000, TIMEOUT_MS);
            String fetch = origin.nextCommand();
            assertThat(fetch).contains("Req-Extra: c=text,t=acme,d=").contains(",size=5\n");
            assertThat(sentTimeoutMs(fetch)).isBetween(1, TIMEOUT_MS - 100);
        }
    }

    /** A rejected write is retried after 50 ms at the earliest: half of a quarter of the shortest latency objective. */
    @Test
    void aRetriedWriteIsSentLessTimeThanTheFirstAttempt() throws Exception {
        AtomicBoolean rejected = new AtomicBoolean(); // the retry may come on another connection
        FakeServer origin = new FakeServer(c -> {
            while (c.request() != null) {
                if (rejected.compareAndSet(false, true)) {
                    c.sendHttp(503, "Srv-Declined: 1\r\n", "");
                } else {
                    c.sendHttp(200, "", "receipt");
                }
            }
        });
        try (ProxyFixture fixture = new ProxyFixture()
                        .origin(origin)
                        .set("classes.0.promise", "400.0")
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            write(client, "fix", "1");
            assertThat(client.line()).isEqualTo("HD O1 creceipt");
            int first = sentTimeoutMs(origin.nextCommand());
            int second = sentTimeoutMs(origin.nextCommand());
            assertThat(first).isBetween(1, TIMEOUT_MS);
            assertThat(second).isBetween(1, first - 50);
        }
    }

    /** The kernel retransmits the SYN of a connection that was not accepted after one second at the earliest. */
    @Test
    void anAttemptThatWaitedForItsConnectionIsSentTheTimeThatRemains() throws Exception {
        LateServer origin = new LateServer(p -> {
            for (String line; (line = p.command()) != null; ) {
                if (line.isEmpty()) {
                    p.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt");
                }
            }
        });
        try (origin;
                ProxyFixture fixture = new ProxyFixture()
                        .origin(origin.dial())
                        .set("caps.connect-timeout", "10000.0")
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            write(client, "fix", "1");
            Await.until(
                    "the request waits for the connection",
                    () -> fixture.onEventLoop(() -> fixture.proxy.status().openRequests() == 1
                            && fixture.proxy.status().upstreamConnections() == 1));
            fixture.onEventLoop(() -> null); // runs after the task that connects: the first SYN has been dropped
            origin.open();
            assertThat(client.line()).isEqualTo("HD O1 creceipt");
            String extras = origin.commands.stream()
                    .filter(l -> l.startsWith("Req-Extra"))
                    .findFirst()
                    .orElseThrow();
            assertThat(sentTimeoutMs(extras)).isBetween(1, TIMEOUT_MS - 100);
        }
    }

    @Test
    void theRemainingTimeIsRoundedDownAndAtLeastOne() {
        RequestAttempt attempt = new RequestAttempt(null, null, 0, 1, null, 0, 100);
        assertThat(attempt.remainingMs(0.5)).isEqualTo(99);
        assertThat(attempt.remainingMs(99.9)).isEqualTo(1);
        assertThat(attempt.remainingMs(250)).isEqualTo(1);
    }
}

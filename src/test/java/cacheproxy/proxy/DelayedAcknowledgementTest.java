package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against responses that wait for the acknowledgement of what their server has sent before, 40 ms each: servers
 * with Nagle's algorithm hold them back until then.
 */
@Timeout(60)
class DelayedAcknowledgementTest {
    private static final int READS = 50;
    /** Half of what the delayed acknowledgements add up to. */
    private static final long MAX_MS = READS * 40 / 2;

    private static final int BODY_BYTES = 20_000;

    private static void assertReadsAreFast(ProxyFixture fixture) throws Exception {
        String body = "v".repeat(BODY_BYTES);
        try (ProxyFixture started = fixture.start();
                ProxyFixture.Client client = started.client()) {
            long beganNanos = System.nanoTime();
            for (int i = 0; i < READS; i++) {
                client.read("r" + i);
                assertThat(client.line()).isEqualTo("VA " + BODY_BYTES + " Or" + i);
                assertThat(client.line()).isEqualTo(body);
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos))
                    .isLessThan(MAX_MS);
        }
    }

    @Test
    void aValueThatANodeSendsInTwoPartsIsPassedOnAtOnce() throws Exception {
        String body = "v".repeat(BODY_BYTES);
        try (FakeServer node = new FakeServer(c -> {
            for (String line; (line = c.command()) != null; ) {
                c.send("VA " + BODY_BYTES + " O" + FakeServer.id(line) + " h1\r\n");
                c.send(body + "\r\n");
            }
        })) {
            assertReadsAreFast(new ProxyFixture().node(node));
        }
    }
}

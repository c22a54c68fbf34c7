package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request's deadline runs from when its last byte arrived at this machine, not from when the proxy reads it: servers
 * are sent at most the time that the client has left, with 0.15 s of slack.
 */
@Timeout(60)
class ArrivalTimeTest {
    private static final int TIMEOUT_MS = 20_000;
    private static final double SLACK_MS = 150;
    /** Well above the slack. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final Pattern DEADLINE = Pattern.compile("\\bd=(\\d+)");

    /** The remaining time that a server was sent with a request, and when. */
    private record ReceivedDeadline(String id, int deadlineMs, long atNanos) {}

    private static ReceivedDeadline received(String command) {
        Matcher deadline = DEADLINE.matcher(command);
        assertThat(deadline.find()).as(command).isTrue();
        return new ReceivedDeadline(FakeServer.id(command), Integer.parseInt(deadline.group(1)), System.nanoTime());
    }

    private static void assertNotTooMuch(ReceivedDeadline received, long sentNanos) {
        double leftMs = TIMEOUT_MS - (received.atNanos - sentNanos) / 1e6;
        assertThat((double) received.deadlineMs).as(received.id).isLessThanOrEqualTo(leftMs + SLACK_MS);
    }

    private static void awaitTime(long nanos) {
        Await.until("the time has passed", () -> System.nanoTime() >= nanos);
    }

    private static String reads(int from, int to, String pad) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < to; i++) {
            text.append("mg 7f3a v O")
                    .append(i)
                    .append(pad)
                    .append(" Pc=text,d=")
                    .append(TIMEOUT_MS)
                    .append("\r\n");
        }
        return text.toString();
    }

    /**
     * A node that reads at once and answers once it is released; it records the remaining time sent with each command.
     */
    private static FakeServer answersLate(CountDownLatch release, Map<String, ReceivedDeadline> receivedById)
            throws Exception {
        return new FakeServer(c -> {
            BlockingQueue<String> unanswered = new LinkedBlockingQueue<>();
            Thread answers = new Thread(() -> {
                try {
                    release.await();
                    while (true) {
                        c.send("VA 5 O" + unanswered.take() + " h1\r\nhello\r\n");
                    }
                } catch (InterruptedException | IOException e) {
                    // the connection is closed
                }
            });
            answers.setDaemon(true);
            answers.start();
            for (String line; (line = c.command()) != null; ) {
                ReceivedDeadline received = received(line);
                receivedById.put(received.id, received);
                unanswered.add(received.id);
            }
        });
    }

    /** Sends all reads at once, with none answered before {@link #LATE_NANOS} have passed. */
    private static Map<String, ReceivedDeadline> answerLate(int many, String pad) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Map<String, ReceivedDeadline> receivedById = new ConcurrentHashMap<>();
        FakeServer node = answersLate(release, receivedById);
        try (ProxyFixture fixture = new ProxyFixture()
                        .node(node)
                        .set("caps.second-copies", "false")
                        .set("caps.may-cancel", "false")
                        .start();
                ProxyFixture.Client client = fixture.client()) {
            assertThat(client.send("mn\r\n").line()).isEqualTo("MN");
            client.send(reads(0, many, pad));
            long sent = System.nanoTime();
            awaitTime(sent + LATE_NANOS);
            release.countDown();
            for (int i = 0; i < many; i++) {
                assertThat(client.line()).isEqualTo("VA 5 O" + i + pad);
                client.line();
            }
            receivedById.values().forEach(t -> assertNotTooMuch(t, sent));
        }
        return receivedById;
    }

    @Test
    void aRequestThatWaitsBehindOthersOfItsConnectionCountsFromItsLastByte() throws Exception {
        assertThat(answerLate(100, "")).hasSize(100);
    }

    /** The requests exceed what the proxy reads ahead, so the last ones wait in the kernel's buffer. */
    @Test
    void aRequestThatWaitsInTheKernelsBufferCountsFromItsLastByteToo() throws Exception {
        assertThat(answerLate(600, "x".repeat(1000))).hasSize(600);
    }

    @Test
    void aRequestThatArrivesWhileTheEventLoopIsBlockedCountsFromItsLastByte() throws Exception {
        FakeServer node = FakeServer.node(line -> "VA 5 O" + FakeServer.id(line) + " h1\r\nhello\r\n");
        try (ProxyFixture fixture = new ProxyFixture().node(node).start();
                ProxyFixture.Client client = fixture.client();
                ProxyFixture.Client fresh = fixture.client()) {
            assertThat(client.send("mn\r\n").line()).isEqualTo("MN");
            assertThat(fresh.send("mn\r\n").line()).isEqualTo("MN");
            CountDownLatch release = fixture.pauseEventLoop();
            client.send(reads(1, 2, ""));
            long sent = System.nanoTime();
            awaitTime(sent + LATE_NANOS);
            release.countDown();
            assertNotTooMuch(received(node.nextCommand()), sent);
            assertThat(client.line()).isEqualTo("VA 5 O1");
        }
    }
}

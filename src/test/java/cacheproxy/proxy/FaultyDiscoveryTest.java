package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.Await;
import com.google.gson.JsonArray;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How long a change of the endpoint list takes to be known while discovery's answers are faulty, by fault and by
 * discovery mode: at most 6 s wherever any kind of poll would have delivered it.
 */
@Timeout(120)
class FaultyDiscoveryTest {
    private static final String CHANGED_LIST = list("{\"seq\":43,", entry("s-0000beef", "up"));
    /** The number of faulty polls, for faults that don't affect every poll. */
    private static final int FAULTY_POLLS = 2;

    /** A fault in discovery's answers. */
    private enum Fault {
        WATCHES_BREAK_OFF(3000),
        WATCHES_ARE_SILENT(5500),
        ANSWERS_ARE_1200_MS_LATE(3000),
        ANSWERS_ARE_2400_MS_LATE(4000),
        ANSWERS_ARE_4000_MS_LATE(5500),
        ONE_BAD_ENTRY(3000),
        BAD_HEALTH_OF_ANOTHER(3000),
        HOST_TWICE(3000),
        HEAD_OF_MEGABYTES(3000),
        LENGTH_TOO_SHORT(3000),
        LENGTH_TOO_LONG(5500),
        TWO_LISTS(3000),
        NUMBER_PAST_2_53(3000),
        NEGATIVE_NUMBER(3000),
        ENDLESS_BODY(3000),
        NO_LIST(3000);

        final double maxDelayMs;

        Fault(double knownMs) {
            this.maxDelayMs = knownMs;
        }

        void answer(FakeServer.Connection c, String request, int call, CountDownLatch never) throws Exception {
            boolean watch = request.contains("since=");
            switch (this) {
                case WATCHES_BREAK_OFF -> {
                    if (watch) {
                        c.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":43,");
                        c.reset();
                    } else {
                        sendList(c);
                    }
                }
                case WATCHES_ARE_SILENT -> {
                    if (watch) {
                        c.awaitEnd();
                    } else {
                        sendList(c);
                    }
                }
                case ANSWERS_ARE_1200_MS_LATE -> sendListLate(c, 1200, never);
                case ANSWERS_ARE_2400_MS_LATE -> sendListLate(c, 2400, never);
                case ANSWERS_ARE_4000_MS_LATE -> sendListLate(c, 4000, never);
                case ONE_BAD_ENTRY -> c.sendHttp(200, "", list("{\"seq\":43,", "{}", entry("s-0000beef", "up")));
                case BAD_HEALTH_OF_ANOTHER ->
                    c.sendHttp(200, "", list("{\"seq\":43,", entry("s-1", "asleep"), entry("s-0000beef", "up")));
                case HOST_TWICE ->
                    c.sendHttp(
                            200,
                            "",
                            list(
                                    "{\"seq\":43,",
                                    entry("s-1", "up"),
                                    entry("s-1", "draining"),
                                    entry("s-0000beef", "up")));
                default -> {
                    if (call < FAULTY_POLLS) {
                        sendFaulty(c);
                    } else {
                        sendList(c);
                    }
                }
            }
        }

        private void sendFaulty(FakeServer.Connection c) throws IOException {
            switch (this) {
                case HEAD_OF_MEGABYTES -> {
                    c.send("HTTP/1.1 200 OK\r\n");
                    String field = "X-Filler: " + "x".repeat(1000) + "\r\n";
                    for (int i = 0; i < 4000; i++) {
                        c.send(field);
                    }
                }
                case LENGTH_TOO_SHORT -> c.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + CHANGED_LIST);
                case LENGTH_TOO_LONG -> {
                    c.send("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + CHANGED_LIST);
                    c.awaitEnd();
                }
                case TWO_LISTS -> c.sendHttp(200, "", CHANGED_LIST + CHANGED_LIST);
                case NUMBER_PAST_2_53 -> c.sendHttp(200, "", CHANGED_LIST.replace("43", "1e300"));
                case NEGATIVE_NUMBER -> c.sendHttp(200, "", CHANGED_LIST.replace("43", "-43"));
                case ENDLESS_BODY -> {
                    c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    String chunk = "10000\r\n" + " ".repeat(0x10000) + "\r\n";
                    while (true) { // until the proxy closes the connection
                        c.send(chunk);
                    }
                }
                default -> c.sendHttp(200, "", "null");
            }
        }
    }

    private static String entry(String name, String health) {
        return ProxyFixture.host(name, "node-fast", "127.0.0.1:9", health).toString();
    }

    private static String list(String head, String... entries) {
        return head + "\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}";
    }

    private static void sendList(FakeServer.Connection c) throws IOException {
        c.sendHttp(200, "", CHANGED_LIST);
    }

    private static void sendListLate(FakeServer.Connection c, long ms, CountDownLatch never) throws Exception {
        never.await(ms, TimeUnit.MILLISECONDS);
        sendList(c);
    }

    /** Milliseconds from the proxy's start until the change is in use. */
    private static double delayMs(Fault fault, String mode) throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=43&")) {
                    c.awaitEnd();
                } else {
                    fault.answer(c, request, calls.getAndIncrement(), never);
                }
            }
        });
        ProxyFixture fixture =
                new ProxyFixture().discovery(discovery).set("discovery", mode).set("caps.connect-timeout", "100.0");
        JsonArray none = new JsonArray();
        fixture.config.add("known", ProxyFixture.list(41, true, none));
        try (fixture) {
            long from = System.nanoTime();
            fixture.start();
            Await.until(
                    "the change is in use",
                    () -> fixture.onEventLoop(
                                    () -> fixture.proxy.dispatcher().servers().get(0xbeef))
                            != null);
            return (System.nanoTime() - from) / 1e6;
        }
    }

    @Test
    void aChangeIsKnownInTimeWhateverIsWrongWithAnswers() throws Exception {
        Map<String, Future<Double>> delays = new LinkedHashMap<>();
        List<String> late = new ArrayList<>();
        ExecutorService each = Executors.newCachedThreadPool();
        try {
            for (Fault fault : Fault.values()) {
                for (String mode : new String[] {"ask", "push"}) {
                    delays.put(mode + " " + fault, each.submit(() -> delayMs(fault, mode)));
                }
            }
            for (Fault fault : Fault.values()) {
                for (String mode : new String[] {"ask", "push"}) {
                    String name = mode + " " + fault;
                    String outcome;
                    try {
                        double ms = delays.get(name).get();
                        outcome =
                                ms <= fault.maxDelayMs ? null : "%.0f ms, %.0f allowed".formatted(ms, fault.maxDelayMs);
                        System.out.printf("known after %5.0f ms: %s%n", ms, name);
                    } catch (ExecutionException e) {
                        outcome = "never";
                        System.out.printf("never known: %s%n", name);
                    }
                    if (outcome != null) {
                        late.add(name + ": " + outcome);
                    }
                }
            }
        } finally {
            each.shutdownNow();
        }
        assertThat(late).isEmpty();
    }
}

package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How long a change of the endpoint list takes to be known once discovery answers again, for each way in which the
 * previous poll failed: at most 6 s in every case.
 */
@Timeout(120)
class EndpointListPollingTest {
    /** Below the 6 s, with a margin for a busy machine and for the queue at a shared discovery. */
    private static final double MAX_DELAY_MS = 4500;
    /** Consecutive failures before discovery recovers: as many as lengthen the delay between polls. */
    private static final int FAILURES = 4;
    /** The number of consecutive refusals after which the delay grows no further. */
    private static final int REFUSALS_TO_MAX_DELAY = 5;

    /** What a failing discovery does with a poll. */
    private enum Failure {
        TURNED_AWAY,
        RESET,
        CLOSED,
        CUT,
        HALF_JSON,
        STALLED,
        SILENT;

        void run(FakeServer.Connection c) throws Exception {
            switch (this) {
                case TURNED_AWAY -> c.sendHttp(503, "", "");
                case RESET -> c.reset();
                case CLOSED -> c.socket.close();
                case CUT -> {
                    c.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":43,");
                    c.socket.close();
                }
                case HALF_JSON -> c.sendHttp(200, "", "{\"seq\":43,\"whole\":");
                case STALLED -> {
                    c.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":43,");
                    c.awaitEnd();
                }
                case SILENT -> c.awaitEnd();
            }
        }

        /** A poll that runs into its timeout makes the test slow, so two of them have to do. */
        int repetitions() {
            return this == SILENT || this == STALLED ? 2 : FAILURES;
        }
    }

    /** Consecutive failures with no successful poll before them. */
    private record Failures(String name, List<Failure> inOrder) {
        static Failures ofOneKind(Failure failure) {
            return new Failures(failure.name(), Collections.nCopies(failure.repetitions(), failure));
        }

        /** Refusals until the delay between polls has reached its maximum, then these failures. */
        static Failures afterRefusals(Failure... last) {
            List<Failure> all = new ArrayList<>(Collections.nCopies(REFUSALS_TO_MAX_DELAY, Failure.TURNED_AWAY));
            all.addAll(List.of(last));
            return new Failures("refusals, then " + List.of(last), all);
        }
    }

    private static List<Failures> failures() {
        List<Failures> all = new ArrayList<>();
        for (Failure f : Failure.values()) {
            all.add(Failures.ofOneKind(f));
        }
        all.add(Failures.afterRefusals(Failure.SILENT));
        all.add(Failures.afterRefusals(Failure.STALLED));
        all.add(Failures.afterRefusals(Failure.RESET, Failure.SILENT));
        all.add(Failures.afterRefusals(Failure.SILENT, Failure.RESET));
        all.add(Failures.afterRefusals(Failure.SILENT, Failure.CUT, Failure.SILENT));
        return all;
    }

    private static String changedList() {
        JsonArray hosts = new JsonArray();
        hosts.add(ProxyFixture.host("s-0000beef", "node-fast", "127.0.0.1:9", "up"));
        return ProxyFixture.list(43, true, hosts).toString();
    }

    private static ProxyFixture fixture(String discovery, String mode) {
        ProxyFixture fixture = new ProxyFixture().set("discovery", mode).set("caps.connect-timeout", "100.0");
        fixture.config.addProperty("discovery", discovery);
        return fixture;
    }

    /**
     * Milliseconds from when the last failing poll had begun and discovery had recovered until the change is in use.
     */
    private static double delayAfter(Failures failures, String mode) throws Exception {
        List<Failure> inOrder = failures.inOrder();
        AtomicInteger calls = new AtomicInteger();
        CompletableFuture<Long> recovered = new CompletableFuture<>();
        CompletableFuture<Long> known = new CompletableFuture<>();
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                int call = calls.getAndIncrement();
                if (call < inOrder.size()) {
                    if (call == inOrder.size() - 1) {
                        recovered.complete(System.nanoTime());
                    }
                    inOrder.get(call).run(c);
                } else if (request.contains("since=43&")) {
                    known.complete(System.nanoTime());
                    c.awaitEnd();
                } else {
                    c.sendHttp(200, "", changedList());
                }
            }
        });
        try (ProxyFixture fixture =
                fixture(discovery.dial(), mode).discovery(discovery).start()) {
            long from = recovered.get(60, TimeUnit.SECONDS);
            return (known.get(60, TimeUnit.SECONDS) - from) / 1e6;
        }
    }

    /** Milliseconds from when an open watch fell silent until the change that it should have delivered is in use. */
    private static double delayAfterAContinuedWatch(String mode) throws Exception {
        CompletableFuture<Long> silent = new CompletableFuture<>();
        CompletableFuture<Long> known = new CompletableFuture<>();
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=44&")) {
                    known.complete(System.nanoTime());
                    c.awaitEnd();
                } else if (request.contains("since=41&")) {
                    c.sendHttp(200, "", changedList());
                } else if (silent.complete(System.nanoTime())) {
                    c.awaitEnd();
                } else {
                    c.sendHttp(200, "", changedList().replace("43", "44"));
                }
            }
        });
        try (ProxyFixture fixture =
                fixture(discovery.dial(), mode).discovery(discovery).start()) {
            return (known.get(60, TimeUnit.SECONDS) - silent.join()) / 1e6;
        }
    }

    /** Connections to discovery are not established at first, and are later. */
    private static double delayAfterUnacceptedConnections(String mode) throws Exception {
        CompletableFuture<Long> known = new CompletableFuture<>();
        try (LateServer discovery = new LateServer(p -> {
                    String request = null;
                    for (String line; (line = p.command()) != null; ) {
                        request = line.startsWith("GET ") ? line : request;
                        if (line.isEmpty() && request.contains("since=43&")) {
                            known.complete(System.nanoTime());
                        } else if (line.isEmpty()) {
                            p.send("HTTP/1.1 200 OK\r\nContent-Length: "
                                    + changedList().length() + "\r\n\r\n" + changedList());
                        }
                    }
                });
                ProxyFixture fixture = fixture(discovery.dial(), mode).start()) {
            long from = System.nanoTime();
            discovery.open();
            return (known.get(60, TimeUnit.SECONDS) - from) / 1e6;
        }
    }

    /** Discovery's address refuses connections at first, and accepts them later. */
    private static double delayAfterRefusals(String mode) throws Exception {
        CompletableFuture<Long> known = new CompletableFuture<>();
        InetAddress local = InetAddress.getByName("127.0.0.1");
        int port;
        try (ServerSocket reserved = new ServerSocket(0, 1, local)) {
            port = reserved.getLocalPort();
        }
        FakeServer discovery = new FakeServer(
                c -> {
                    for (String request; (request = c.request()) != null; ) {
                        if (request.contains("since=43&")) {
                            known.complete(System.nanoTime());
                            c.awaitEnd();
                        } else {
                            c.sendHttp(200, "", changedList());
                        }
                    }
                },
                new InetSocketAddress(local, port),
                1500);
        try (discovery;
                ProxyFixture fixture = fixture("127.0.0.1:" + port, mode).start()) {
            return (known.get(60, TimeUnit.SECONDS) - discovery.listeningNanos()) / 1e6;
        }
    }

    @Test
    void aChangeIsKnownInTimeWhateverPollFailed() throws Exception {
        List<String> names = new ArrayList<>();
        List<Future<Double>> repetitions = new ArrayList<>();
        ExecutorService each = Executors.newCachedThreadPool();
        try {
            for (String mode : new String[] {"ask", "push"}) {
                for (Failures f : failures()) {
                    names.add(mode + " " + f.name());
                    repetitions.add(each.submit(() -> delayAfter(f, mode)));
                }
                names.add(mode + " watch that went on falls silent");
                repetitions.add(each.submit(() -> delayAfterAContinuedWatch(mode)));
                names.add(mode + " NO_WAY_IN");
                repetitions.add(each.submit(() -> delayAfterUnacceptedConnections(mode)));
                names.add(mode + " REFUSED");
                repetitions.add(each.submit(() -> delayAfterRefusals(mode)));
            }
            for (int i = 0; i < names.size(); i++) {
                double ms = repetitions.get(i).get();
                System.out.printf("known after %5.0f ms: %s%n", ms, names.get(i));
                assertThat(ms).as(names.get(i)).isLessThan(MAX_DELAY_MS);
            }
        } finally {
            each.shutdownNow();
        }
    }

    /**
     * A response that a cancelled poll's connection still delivers as it closes is no answer to the next poll: here one
     * without a length, which the close completes. Guards against taking it for the answer, which ended a valid poll.
     */
    @Test
    void theEndOfACancelledPollIsNoAnswerToTheNext() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        FakeServer before = new FakeServer(c -> {
            c.request();
            c.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"seq\":42,");
            begun.countDown();
            c.awaitEnd();
        });
        CountDownLatch asked = new CountDownLatch(1);
        FakeServer after = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=43&")) {
                    c.awaitEnd();
                } else {
                    asked.await();
                    c.sendHttp(200, "", changedList());
                }
            }
        });
        try (after;
                ProxyFixture fixture = new ProxyFixture()
                        .discovery(before)
                        .set("guarantees.ask-within", "200.0")
                        .start()) {
            begun.await();
            fixture.client()
                    .send("mn\r\n")
                    .line(); // the event loop has completed an iteration and read what has arrived
            fixture.config.addProperty("discovery", after.dial());
            fixture.reload();
            assertThat(after.nextCommand()).contains("since=41&");
            fixture.client().send("mn\r\n").line();
            fixture.client().send("mn\r\n").line();
            asked.countDown();
            assertThat(after.nextCommand()).contains("since=43&");
            assertThat(after.accepted).hasSize(1);
        }
    }

    /** A discovery that has moved or lost its state may restart its version numbers at lower values. */
    @Test
    void aDiscoveryWithNewVersionNumbersIsAskedForASnapshot() throws Exception {
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=41&")) {
                    c.sendHttp(
                            200,
                            "",
                            ProxyFixture.list(3, false, new JsonArray()).toString());
                } else if (request.contains("since=0&")) {
                    JsonArray hosts = new JsonArray();
                    hosts.add(ProxyFixture.host("s-0000beef", "node-fast", "127.0.0.1:9", "up"));
                    c.sendHttp(200, "", ProxyFixture.list(3, true, hosts).toString());
                } else {
                    c.awaitEnd();
                }
            }
        });
        try (ProxyFixture fixture = new ProxyFixture()
                .discovery(discovery)
                .set("guarantees.ask-within", "200.0")
                .start()) {
            assertThat(discovery.nextCommand()).contains("since=41&");
            assertThat(discovery.nextCommand()).contains("since=0&");
            assertThat(discovery.nextCommand()).contains("since=3&");
            assertThat(fixture.onEventLoop(() -> fixture.proxy.status().discoveredNodes()))
                    .isEqualTo(1);
        }
    }
}

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
 * How long news that discovery has stays unknown once discovery could be asked for it, by the way in which the poll
 * before failed: it has to be known after 6 s, whatever that was.
 */
@Timeout(120)
class EndpointListPollingTest {
    /** Under the 6 s with a margin for a busy machine and for the line at a discovery that many ask. */
    private static final double MAX_DELAY_MS = 4500;
    /** Failures in a row before discovery is well: as many as lengthen the waits between calls. */
    private static final int FAILURES = 4;
    /** So many refusals in a row, and the waits grow no longer. */
    private static final int LONGEST_WAITS = 5;

    /** What discovery does to a call while it is not well. */
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
                case TURNED_AWAY -> c.sayHttp(503, "", "");
                case RESET -> c.reset();
                case CLOSED -> c.socket.close();
                case CUT -> {
                    c.say("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":43,");
                    c.socket.close();
                }
                case HALF_JSON -> c.sayHttp(200, "", "{\"seq\":43,\"whole\":");
                case STALLED -> {
                    c.say("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"seq\":43,");
                    c.awaitEnd();
                }
                case SILENT -> c.awaitEnd();
            }
        }

        /** A call that takes as long as it may takes the test's time: two of them show all that there is to see. */
        int times() {
            return this == SILENT || this == STALLED ? 2 : FAILURES;
        }
    }

    /** Failures one after another, before which nothing has been answered. */
    private record Failures(String name, List<Failure> inOrder) {
        static Failures ofOneKind(Failure failure) {
            return new Failures(failure.name(), Collections.nCopies(failure.times(), failure));
        }

        /** So many that the waits between calls are as long as they get, and then these. */
        static Failures afterRefusals(Failure... last) {
            List<Failure> all = new ArrayList<>(Collections.nCopies(LONGEST_WAITS, Failure.TURNED_AWAY));
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

    private static String news() {
        JsonArray hosts = new JsonArray();
        hosts.add(Fleet.host("s-0000beef", "node-fast", "127.0.0.1:9", "up"));
        return Fleet.list(43, true, hosts).toString();
    }

    private static Fleet fleet(String discovery, String mode) {
        Fleet fleet = new Fleet().set("discovery", mode).set("caps.connect-timeout", "100.0");
        fleet.config.addProperty("discovery", discovery);
        return fleet;
    }

    /**
     * Milliseconds from the end of the last bad call's beginning, when discovery was well again, until the news is in
     * use.
     */
    private static double unknownAfter(Failures failures, String mode) throws Exception {
        List<Failure> inOrder = failures.inOrder();
        AtomicInteger calls = new AtomicInteger();
        CompletableFuture<Long> well = new CompletableFuture<>();
        CompletableFuture<Long> known = new CompletableFuture<>();
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                int call = calls.getAndIncrement();
                if (call < inOrder.size()) {
                    if (call == inOrder.size() - 1) {
                        well.complete(System.nanoTime());
                    }
                    inOrder.get(call).run(c);
                } else if (request.contains("since=43&")) {
                    known.complete(System.nanoTime());
                    c.awaitEnd();
                } else {
                    c.sayHttp(200, "", news());
                }
            }
        });
        try (Fleet fleet = fleet(discovery.dial(), mode).discovery(discovery).start()) {
            long from = well.get(60, TimeUnit.SECONDS);
            return (known.get(60, TimeUnit.SECONDS) - from) / 1e6;
        }
    }

    /** Milliseconds from when a watch that went on fell silent until the news that it should have brought is in use. */
    private static double unknownAfterAContinuedWatch(String mode) throws Exception {
        CompletableFuture<Long> silent = new CompletableFuture<>();
        CompletableFuture<Long> known = new CompletableFuture<>();
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=44&")) {
                    known.complete(System.nanoTime());
                    c.awaitEnd();
                } else if (request.contains("since=41&")) {
                    c.sayHttp(200, "", news());
                } else if (silent.complete(System.nanoTime())) {
                    c.awaitEnd();
                } else {
                    c.sayHttp(200, "", news().replace("43", "44"));
                }
            }
        });
        try (Fleet fleet = fleet(discovery.dial(), mode).discovery(discovery).start()) {
            return (known.get(60, TimeUnit.SECONDS) - silent.join()) / 1e6;
        }
    }

    /** Discovery's connections do not come up, until they do. */
    private static double unknownAfterNoWayIn(String mode) throws Exception {
        CompletableFuture<Long> known = new CompletableFuture<>();
        try (LateServer discovery = new LateServer(p -> {
                    String request = null;
                    for (String line; (line = p.command()) != null; ) {
                        request = line.startsWith("GET ") ? line : request;
                        if (line.isEmpty() && request.contains("since=43&")) {
                            known.complete(System.nanoTime());
                        } else if (line.isEmpty()) {
                            p.say("HTTP/1.1 200 OK\r\nContent-Length: " + news().length() + "\r\n\r\n" + news());
                        }
                    }
                });
                Fleet fleet = fleet(discovery.dial(), mode).start()) {
            long from = System.nanoTime();
            discovery.open();
            return (known.get(60, TimeUnit.SECONDS) - from) / 1e6;
        }
    }

    /** Nobody listens at discovery's address, until somebody does. */
    private static double unknownAfterRefusals(String mode) throws Exception {
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
                            c.sayHttp(200, "", news());
                        }
                    }
                },
                new InetSocketAddress(local, port),
                1500);
        try (discovery;
                Fleet fleet = fleet("127.0.0.1:" + port, mode).start()) {
            return (known.get(60, TimeUnit.SECONDS) - discovery.listeningNanos()) / 1e6;
        }
    }

    @Test
    void aChangeIsKnownInTimeWhateverPollFailed() throws Exception {
        List<String> names = new ArrayList<>();
        List<Future<Double>> times = new ArrayList<>();
        ExecutorService each = Executors.newCachedThreadPool();
        try {
            for (String mode : new String[] {"ask", "push"}) {
                for (Failures f : failures()) {
                    names.add(mode + " " + f.name());
                    times.add(each.submit(() -> unknownAfter(f, mode)));
                }
                names.add(mode + " watch that went on falls silent");
                times.add(each.submit(() -> unknownAfterAContinuedWatch(mode)));
                names.add(mode + " NO_WAY_IN");
                times.add(each.submit(() -> unknownAfterNoWayIn(mode)));
                names.add(mode + " REFUSED");
                times.add(each.submit(() -> unknownAfterRefusals(mode)));
            }
            for (int i = 0; i < names.size(); i++) {
                double ms = times.get(i).get();
                System.out.printf("known after %5.0f ms: %s%n", ms, names.get(i));
                assertThat(ms).as(names.get(i)).isLessThan(MAX_DELAY_MS);
            }
        } finally {
            each.shutdownNow();
        }
    }

    /**
     * What a connection that was given up still brings out as it ends is no answer to the call that took its place:
     * here one without a length, which its end makes whole. Taken for one, it ended a sound call.
     */
    @Test
    void theEndOfACancelledPollIsNoAnswerToTheNext() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        FakeServer before = new FakeServer(c -> {
            c.request();
            c.say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"seq\":42,");
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
                    c.sayHttp(200, "", news());
                }
            }
        });
        try (after;
                Fleet fleet = new Fleet()
                        .discovery(before)
                        .set("guarantees.ask-within", "200.0")
                        .start()) {
            begun.await();
            fleet.client().say("mn\r\n").line(); // the event loop has been round: what there is of it has been read
            fleet.config.addProperty("discovery", after.dial());
            fleet.reload();
            assertThat(after.next()).contains("since=41&");
            fleet.client().say("mn\r\n").line();
            fleet.client().say("mn\r\n").line();
            asked.countDown();
            assertThat(after.next()).contains("since=43&");
            assertThat(after.accepted).hasSize(1);
        }
    }

    /** One that has moved, or lost its memory, may number its lists from less. */
    @Test
    void aDiscoveryWithNewVersionNumbersIsAskedForASnapshot() throws Exception {
        FakeServer discovery = new FakeServer(c -> {
            for (String request; (request = c.request()) != null; ) {
                if (request.contains("since=41&")) {
                    c.sayHttp(200, "", Fleet.list(3, false, new JsonArray()).toString());
                } else if (request.contains("since=0&")) {
                    JsonArray hosts = new JsonArray();
                    hosts.add(Fleet.host("s-0000beef", "node-fast", "127.0.0.1:9", "up"));
                    c.sayHttp(200, "", Fleet.list(3, true, hosts).toString());
                } else {
                    c.awaitEnd();
                }
            }
        });
        try (Fleet fleet = new Fleet()
                .discovery(discovery)
                .set("guarantees.ask-within", "200.0")
                .start()) {
            assertThat(discovery.next()).contains("since=41&");
            assertThat(discovery.next()).contains("since=0&");
            assertThat(discovery.next()).contains("since=3&");
            assertThat(fleet.on(() -> fleet.proxy.status().discoveredNodes())).isEqualTo(1);
        }
    }
}

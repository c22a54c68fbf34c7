package cacheproxy.load;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.Await;
import cacheproxy.emulator.EmulatedFleet;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.TrafficClass;
import cacheproxy.emulator.ValueSizes;
import cacheproxy.load.SyntheticWorkload.Arrivals;
import com.google.gson.JsonObject;
import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the generator against targets that stall, refuse, reset, send wrong responses or never respond. */
@Timeout(90)
class GeneratorTest {
    private static final FleetSpec QUICK =
            FleetSpec.standard(1, 1, 1).withWork(0, 0).withHeld(1).withBounds(20_000, 100_000, 500, 50);

    private static List<TrafficClass> reads(double deadlineMs) {
        return TrafficClass.mix("seg-text=1", deadlineMs);
    }

    private static Workload constant(double rate, double seconds, List<TrafficClass> classes) {
        return new SyntheticWorkload(new SyntheticWorkload.Settings(
                rate, seconds, Shape.STEADY, Arrivals.CONSTANT, 1000, 1, 0, ValueSizes.of(20), classes, 1));
    }

    private static Report run(
            InetSocketAddress to, Workload workload, List<TrafficClass> classes, int connections, int outstanding)
            throws Exception {
        Generator.Settings settings =
                new Generator.Settings(List.of(to), classes, connections, 100_000, outstanding, 0, 0, 10, 1);
        try (Generator generator = new Generator(settings, workload, Observer.NONE)) {
            return generator.start().get(60, TimeUnit.SECONDS);
        }
    }

    /** For values over 64 KiB the first bytes must meet the deadline; the generator then waits for the rest. */
    @Test
    void aLongAnswerThatHasBegunInTimeIsWaitedFor() throws Exception {
        String value = "x".repeat(100_000);
        try (ServerSocket slow = target((s, in) -> {
            for (String line; (line = in.readLine()) != null; ) {
                String id = line.substring(line.indexOf(" O") + 2).split(" ")[0];
                s.getOutputStream().write(("VA 100000 O" + id + "\r\n" + value.substring(1)).getBytes(UTF_8));
                long until = System.nanoTime() + 900_000_000; // three times the request's deadline
                Await.until("the deadline has gone", () -> System.nanoTime() > until);
                s.getOutputStream().write("x\r\n".getBytes(UTF_8));
            }
        })) {
            List<TrafficClass> classes = reads(300);
            Report r = run(at(slow), constant(5, 1, classes), classes, 10, 100);
            assertThat(r.served()).isEqualTo(r.requests()).isPositive();
            assertThat(r.unanswered()).isZero();
        }
    }

    /** A server that runs the script for each connection. */
    private interface Script {
        void run(Socket socket, BufferedReader in) throws Exception;
    }

    /** Reads to the end, as closing a socket with unread data would send a reset. */
    private static void readAll(BufferedReader in) throws IOException {
        in.transferTo(Writer.nullWriter());
    }

    private static ServerSocket target(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread thread = new Thread(() -> {
                        try (socket) {
                            script.run(
                                    socket,
                                    new BufferedReader(new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.ISO_8859_1)));
                        } catch (Exception e) {
                            // closed by the generator
                        }
                    });
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
        return server;
    }

    private static InetSocketAddress at(ServerSocket server) {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static String id(String line) {
        return line.substring(line.indexOf(" O") + 2).split(" ")[0];
    }

    private static void sums(Report r) {
        assertThat(r.served() + r.refused() + r.failed() + r.unanswered()).isEqualTo(r.requests());
        assertThat(r.latency().getTotalCount()).isEqualTo(r.requests());
    }

    /**
     * With a stall of S seconds in a run of T seconds at a constant rate, (S - x) / T of all requests wait longer than
     * x. Pauses of the machine can only raise that share; the upper margin allows for them.
     */
    @Test
    void aStallStandsInTheTailAsArithmeticSaysWhereAClosedLoopHidesIt() throws Exception {
        double seconds = 6;
        double rate = 200;
        double stall = 2;
        try (EmulatedFleet fleet = new EmulatedFleet(QUICK)) {
            InetSocketAddress node = fleet.nodes(0).get("node-0");
            List<Double> closed = new ArrayList<>();
            CountDownLatch ended = new CountDownLatch(1);
            fleet.play(List.of(new Fault(2000, "node-0", Fault.Action.FREEZE, stall * 1000, 0)), (p, f) -> {});
            Thread loop = new Thread(() -> {
                closedLoop(node, closed, ended);
            });
            loop.start();
            Report r = run(node, constant(rate, seconds, reads(10_000)), reads(10_000), 64, 100_000);
            ended.countDown();
            loop.join();
            sums(r);
            assertThat(r.requests()).isBetween((long) (rate * seconds) - 1, (long) (rate * seconds));
            assertThat(r.served()).isEqualTo(r.requests());
            for (double x : new double[] {0.25, 0.5, 1, 1.5, 1.9}) {
                double expected = (stall - x) / seconds;
                double seen = share(r.latency(), x);
                assertThat(seen).as("over %s s", x).isBetween(expected - 0.01, expected + 0.05);
            }
            long over = closed.stream().filter(s -> s > 0.5).count();
            assertThat((double) over / closed.size())
                    .as("closed loop: %d of %d", over, closed.size())
                    .isBetween(1e-9, 0.02);
        }
    }

    private static double share(Histogram h, double seconds) {
        return h.getCountBetweenValues((long) (seconds * 1e6), h.getMaxValue()) / (double) h.getTotalCount();
    }

    /** Closed-loop client: each request 5 ms after the last response, latency from the actual send time. */
    private static void closedLoop(InetSocketAddress to, List<Double> latencies, CountDownLatch ended) {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
            do {
                long before = System.nanoTime();
                socket.getOutputStream().write("mg 7f3a v O1 Pc=seg-text,d=9000\r\n".getBytes(UTF_8));
                in.readLine();
                in.readLine();
                latencies.add((System.nanoTime() - before) / 1e9);
            } while (!ended.await(5, TimeUnit.MILLISECONDS));
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aTargetThatNeverAnswersIsChargedEachRequestsDeadline() throws Exception {
        try (ServerSocket silent = target((s, in) -> readAll(in))) {
            Report r = run(at(silent), constant(100, 1, reads(300)), reads(300), 4, 1000);
            sums(r);
            assertThat(r.unanswered()).isEqualTo(r.requests()).isBetween(99L, 100L);
            assertThat(r.latency().getMinValue()).isBetween(299_000L, 301_000L);
        }
    }

    @Test
    void aTargetThatRefusesConnectionsIsNotWaitedForAndCounted() throws Exception {
        ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        gone.close();
        Report r = run(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), gone.getLocalPort()),
                constant(100, 1, reads(300)),
                reads(300),
                4,
                1000);
        sums(r);
        assertThat(r.unanswered()).isEqualTo(r.requests()).isBetween(99L, 100L);
        assertThat(r.connectErrors()).isPositive();
    }

    @Test
    void aTargetThatResetsLosesWhatWasOnTheConnection() throws Exception {
        try (ServerSocket resets = target((s, in) -> {
            in.readLine();
            s.setSoLinger(true, 0);
        })) {
            Report r = run(at(resets), constant(50, 1, reads(300)), reads(300), 4, 1000);
            sums(r);
            assertThat(r.unanswered()).isEqualTo(r.requests());
            assertThat(r.resets()).isPositive();
            assertThat(r.resent()).as("it may have been had").isZero();
        }
    }

    @Test
    void descriptorsLeaveARoomAndAReserve() {
        assertThat(Descriptors.available(100, 40)).isEqualTo(100 - 40 - Descriptors.RESERVE);
        assertThat(Descriptors.available(50, 45)).isEqualTo(1);
        assertThat(Descriptors.available(-1, 40)).isEqualTo(Integer.MAX_VALUE);
        assertThat(Descriptors.available(Long.MAX_VALUE, 40)).isEqualTo(Integer.MAX_VALUE);
        assertThat(Descriptors.exhausted(new IOException("x", new SocketException("Too many open files"))))
                .isTrue();
        assertThat(Descriptors.exhausted(new ConnectException("Connection refused")))
                .isFalse();
    }

    @Test
    void aConnectionClosedCleanlyBetweenRequestsCostsNoAnswer() throws Exception {
        try (ServerSocket closes = target((s, in) -> {
            for (int i = 0; i < 5; i++) {
                s.getOutputStream().write(("VA 2 O" + id(in.readLine()) + "\r\nhi\r\n").getBytes(UTF_8));
            }
            s.shutdownOutput();
            readAll(in);
        })) {
            Report r = run(at(closes), constant(100, 1, reads(20_000)), reads(20_000), 4, 1000);
            sums(r);
            assertThat(r.served()).isEqualTo(r.requests());
            assertThat(r.connectionsOpened()).isGreaterThan(10);
        }
    }

    @Test
    void whatACleanCloseLeavesUnansweredIsSentOnceMore() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        try (ServerSocket closes = target((s, in) -> {
            boolean first = connections.getAndIncrement() == 0;
            for (String line; (line = in.readLine()) != null && !first; ) {
                s.getOutputStream().write(("VA 2 O" + id(line) + "\r\nhi\r\n").getBytes(UTF_8));
            }
            s.shutdownOutput();
            readAll(in);
        })) {
            Report r = run(at(closes), constant(50, 1, reads(20_000)), reads(20_000), 1, 1000);
            sums(r);
            assertThat(r.served()).isEqualTo(r.requests());
            assertThat(r.resent()).isPositive();
        }
    }

    @Test
    void connectionsThatAreOldAreEndedBetweenRequests() throws Exception {
        try (EmulatedFleet fleet = new EmulatedFleet(QUICK)) {
            Generator.Settings settings = new Generator.Settings(
                    List.of(fleet.nodes(0).get("node-0")), reads(20_000), 4, 100, 1000, 0.1, 0, 10, 1);
            try (Generator generator = new Generator(settings, constant(100, 2, reads(20_000)), Observer.NONE)) {
                Report r = generator.start().get(60, TimeUnit.SECONDS);
                sums(r);
                assertThat(r.served()).isEqualTo(r.requests());
                assertThat(r.connectionsOpened()).isGreaterThan(10);
                assertThat(r.resent()).isZero();
            }
        }
    }

    @Test
    void anAnswerOutOfTurnIsNobodysAndEndsTheConnection() throws Exception {
        try (ServerSocket mixes = target((s, in) -> {
            in.readLine();
            s.getOutputStream().write("VA 2 Offff\r\nhi\r\n".getBytes(UTF_8));
            readAll(in);
        })) {
            Report r = run(at(mixes), constant(50, 1, reads(300)), reads(300), 4, 1000);
            sums(r);
            assertThat(r.served()).isZero();
            assertThat(r.outOfTurn()).isPositive();
            assertThat(r.unanswered()).isEqualTo(r.requests());
        }
    }

    @Test
    void refusalsFailuresAndMissesAreTold() throws Exception {
        try (ServerSocket refuses = target((s, in) -> {
            String[] answers = {"SERVER_ERROR busy 20\r\n", "SERVER_ERROR failed\r\n", "EN O%s\r\n"};
            for (int i = 0; ; i++) {
                s.getOutputStream()
                        .write(answers[i % 3].formatted(id(in.readLine())).getBytes(UTF_8));
            }
        })) {
            Report r = run(at(refuses), constant(90, 1, reads(20_000)), reads(20_000), 1, 1000);
            sums(r);
            assertThat(r.refused()).isBetween(29L, 31L);
            assertThat(r.failed()).isEqualTo(r.requests() - r.refused());
        }
    }

    @Test
    void aTraceTooFastToReplayIsReportedAndNotSlowedQuietly() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 50_000; i++) {
            lines.append(i).append(",seg-text,").append(Integer.toHexString(i)).append(",read,0\n");
        }
        try (EmulatedFleet fleet = new EmulatedFleet(QUICK)) {
            Report r = run(
                    fleet.nodes(0).get("node-0"),
                    new TraceWorkload(
                            new ByteArrayInputStream(lines.toString().getBytes(UTF_8)),
                            TraceFormat.CSV,
                            reads(20_000),
                            1e6),
                    reads(20_000),
                    8,
                    100_000);
            sums(r);
            assertThat(r.keptSchedule()).isFalse();
            assertThat(r.requests()).isEqualTo(50_000);
            assertThat(r.rateAsked()).isGreaterThan(2 * r.rateSent());
            assertThat(r.lag().getMaxValue()).isGreaterThan(10_000);
        }
    }

    @Test
    void whatIsOutIsBoundedAndTheBoundIsTold() throws Exception {
        try (ServerSocket silent = target((s, in) -> readAll(in))) {
            Report r = run(at(silent), constant(2000, 1, reads(400)), reads(400), 4, 100);
            sums(r);
            assertThat(r.outOfRoom()).isPositive();
            assertThat(r.keptSchedule()).isFalse();
        }
    }

    @Test
    void reportsAreMergedByTheirHistograms(@TempDir Path folder) throws Exception {
        List<Report> reports = new ArrayList<>();
        try (EmulatedFleet fleet = new EmulatedFleet(QUICK);
                ServerSocket silent = target((s, in) -> readAll(in))) {
            reports.add(run(fleet.nodes(0).get("node-0"), constant(300, 1, reads(400)), reads(400), 8, 1000));
            reports.add(run(at(silent), constant(100, 1, reads(400)), reads(400), 8, 1000));
        }
        List<Report> read = new ArrayList<>();
        for (Report r : reports) {
            Path file = folder.resolve(read.size() + ".json");
            r.writeJson(file);
            read.add(Report.read(file));
            assertThat(read.get(read.size() - 1).json()).isEqualTo(r.json());
        }
        Report merged = Report.merge(read);
        sums(merged);
        assertThat(merged.requests())
                .isEqualTo(reports.get(0).requests() + reports.get(1).requests());
        // A quarter of all requests waited 400 ms, so the merged p90 is 400 ms; an average of the two p90s would be 200
        // ms.
        assertThat(merged.latency().getValueAtPercentile(90)).isBetween(399_000L, 401_000L);
        JsonObject json = merged.json();
        for (String figure : new String[] {"p50", "p90", "p99", "p999", "max"}) {
            assertThat(json.getAsJsonObject("latency_ms").get(figure).getAsDouble())
                    .isNotNegative();
            assertThat(json.getAsJsonObject("schedule_lag_ms").get(figure).getAsDouble())
                    .isNotNegative();
        }
        Path hlog = folder.resolve("x.hlog");
        merged.writeHlog(hlog);
        try (HistogramLogReader reader = new HistogramLogReader(hlog.toFile())) {
            assertThat(((Histogram) reader.nextIntervalHistogram()).getTotalCount())
                    .isEqualTo(merged.requests());
        }
        String page = HtmlReport.page(merged, "a <b>");
        assertThat(page).contains("<svg", "a &lt;b&gt;", "polyline").doesNotContain("http://", "https://", "NaN");
        Files.writeString(folder.resolve("bad.json"), "{}");
        assertThatThrownBy(() -> Report.read(folder.resolve("bad.json"))).hasMessageContaining("bad.json");
    }
}

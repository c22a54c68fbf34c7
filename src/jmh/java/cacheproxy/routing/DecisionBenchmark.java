package cacheproxy.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time the load balancer takes for one read that the first attempt serves: the decision and the outcome. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgs = {"-XX:+UseSerialGC", "-Xmx512m"})
@State(Scope.Thread)
public class DecisionBenchmark {
    private static final int KEYS = 20_000;

    /** The number of endpoints in the list, without the origin. */
    @Param({"12", "140", "1000"})
    public int servers;

    private final SplittableRandom random = new SplittableRandom(1);
    private final RecordingActions actions = new RecordingActions();
    private CarpLoadBalancer loadBalancer;
    private double now = 1e12;
    private int id;

    private record Timer(double atMs, int token) {}

    /** Records the endpoint a request is sent to and the timers; ignores all other actions. */
    private static final class RecordingActions implements RoutingActions {
        private int server;
        private double now;
        private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingDouble(Timer::atMs));

        @Override
        public void send(int request, int to, double timeoutMs) {
            server = to;
        }

        @Override
        public void reject(int request, double retryAfterMs) {
            server = 0;
        }

        @Override
        public void fail(int request) {
            server = 0;
        }

        @Override
        public void cancel(int request, int attempt) {}

        @Override
        public void setTimer(double afterMs, int token) {
            timers.add(new Timer(now + afterMs, token));
        }

        @Override
        public void checkHealth(int to) {}

        @Override
        public void closeIdle(int to) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void setWatch(boolean on) {}

        @Override
        public void fetchEndpointList() {}

        @Override
        public void log(String line) {}
    }

    /** Adds the endpoints, all warm. */
    @Setup
    public void start() {
        ServiceClass read =
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 250, 1000, 1, 0.3, false);
        RoutingSettings settings = new RoutingSettings(
                0,
                5,
                0,
                4,
                3,
                true,
                true,
                2,
                LoadReportSource.NONE,
                List.of(),
                false,
                0.1,
                true,
                false,
                false,
                true,
                true,
                3,
                500,
                500,
                2000,
                20,
                0.3,
                9000,
                3,
                1500,
                10_000,
                0,
                3000,
                List.of(read),
                List.of());
        loadBalancer = new CarpLoadBalancer(settings, 1);
        List<Endpoint> members = new ArrayList<>();
        for (int i = 1; i <= servers; i++) {
            members.add(new Endpoint(i * 7919, i % 4, i % 2, i % 5, EndpointState.READY, 1, 0));
        }
        members.add(new Endpoint(3, 0, 2, 0, EndpointState.READY, 1, 0));
        loadBalancer.onEndpointUpdate(now, EndpointUpdateKind.SNAPSHOT, members, actions);
    }

    /** One request from arrival to end, at a rate of ten per second per endpoint, with the timers that expire. */
    @Benchmark
    public int served() {
        now += 100.0 / servers;
        actions.now = now;
        for (Timer t; (t = actions.timers.peek()) != null && t.atMs() <= now; ) {
            actions.timers.poll();
            loadBalancer.onTimer(now, t.token(), actions);
        }
        int request = ++id;
        long key = random.nextInt(KEYS) * 0x9e3779b97f4a7c15L;
        actions.server = 0;
        loadBalancer.onRequest(now, new Request(request, 0, 0, key, now + 1000, Double.NaN, 0, false, false), actions);
        int server = actions.server;
        if (server != 0) {
            loadBalancer.onAttemptEnd(
                    now + 0.5, new AttemptEnd(request, 0, server, AttemptOutcome.OK, 0.5, true, 1, null), actions);
        }
        return server;
    }
}

package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long random sequences of valid events, with each action checked against the rules of the protocol. */
class RandomRulesTest {
    private static RoutingSettings settings(int n) {
        return LoadBalancerHarness.settings(
                (n & 1) == 0, (n & 2) != 0, (n & 4) != 0, DeduplicationScope.values()[n % 3]);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
    void everyOrderKeepsTheRules(int n) {
        Simulation simulation = new Simulation(settings(n), n);
        simulation.run(6000);
        assertThat(simulation.answered).isGreaterThan(200);
        assertThat(simulation.sent).isGreaterThan(500);
    }

    @Test
    void theSameEventsGiveTheSameOrders() {
        for (int n = 0; n < 8; n++) {
            Simulation one = new Simulation(settings(n), n);
            Simulation two = new Simulation(settings(n), n);
            one.run(1500);
            two.run(1500);
            assertThat(two.orders).isEqualTo(one.orders);
        }
    }

    /** The observable history of a request; the rules are checked against it, not against the load balancer's state. */
    private static final class TrackedRequest {
        Request request;
        ServiceClass serviceClass;
        boolean finished;
        final List<Integer> servers = new ArrayList<>();
        final List<Double> sentAt = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();

        long inFlight() {
            return outcomes.stream().filter(o -> o == null).count();
        }

        /** The first attempt that may have been executed, or -1. */
        int firstPossibleExecution() {
            for (int a = 0; a < outcomes.size(); a++) {
                if (outcomes.get(a) == null || outcomes.get(a).mayHaveRun()) {
                    return a;
                }
            }
            return -1;
        }
    }

    private static final class Simulation implements RoutingActions {
        final RoutingSettings settings;
        final Random random;
        final CarpLoadBalancer loadBalancer;
        final Map<Integer, TrackedRequest> tracked = new HashMap<>();
        final List<TrackedRequest> pending = new ArrayList<>();
        final Map<Integer, Endpoint> list = new HashMap<>();
        final Set<Integer> everListed = new HashSet<>();
        final List<double[]> timers = new ArrayList<>();
        final List<String> orders = new ArrayList<>();
        double now = 5000;
        int nextId = 1;
        int answered;
        int sent;

        Simulation(RoutingSettings settings, long seed) {
            this.settings = settings;
            random = new Random(seed);
            loadBalancer = new CarpLoadBalancer(settings, seed);
            List<Endpoint> first = new ArrayList<>();
            for (int id = 1; id <= 10; id++) {
                first.add(LoadBalancerHarness.endpoint(id, EndpointState.READY, 0));
            }
            if (settings.cacheAside()) {
                first.add(LoadBalancerHarness.endpoint(LoadBalancerHarness.ORIGIN, EndpointState.READY, 0));
            }
            send(EndpointUpdateKind.CACHED, first);
        }

        private void send(EndpointUpdateKind kind, List<Endpoint> members) {
            if (kind != EndpointUpdateKind.DELTA && kind != EndpointUpdateKind.FAILED) {
                list.clear();
            }
            members.forEach(m -> {
                list.put(m.id(), m);
                everListed.add(m.id());
            });
            loadBalancer.onEndpointUpdate(now, kind, members, this);
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                now += random.nextInt(8);
                fireTimers();
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> arrive();
                    case 3 -> {
                        if (random.nextInt(8) == 0) {
                            updateList();
                        }
                    }
                    case 4 -> {
                        if (random.nextInt(10) == 0) {
                            disconnect();
                        }
                    }
                    case 5 ->
                        loadBalancer.onHealthCheckResult(
                                now,
                                1 + random.nextInt(12),
                                random.nextBoolean() ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                                3,
                                null,
                                this);
                    default -> endSome();
                }
            }
            for (int i = 0; i < 400; i++) {
                now += 5;
                fireTimers();
            }
            pending.forEach(h -> assertThat(h.finished)
                    .as("request %d was answered", h.request.id())
                    .isTrue());
        }

        private void fireTimers() {
            for (double[] t : List.copyOf(timers)) {
                if (t[0] <= now) {
                    timers.remove(t);
                    loadBalancer.onTimer(now, (int) t[1], this);
                }
            }
            pending.removeIf(h -> h.finished && h.inFlight() == 0);
            for (TrackedRequest h : pending) {
                assertThat(h.finished || now <= h.request.deadlineMs() + settings.finalAnswerGraceMs())
                        .as("request %d answered by its deadline and grace period", h.request.id())
                        .isTrue();
            }
        }

        private void arrive() {
            TrackedRequest h = new TrackedRequest();
            int c = random.nextInt(3);
            h.request = new Request(
                    nextId++,
                    c,
                    0,
                    random.nextInt(30),
                    now + 300 + random.nextInt(700),
                    random.nextBoolean() ? Double.NaN : 10 + random.nextInt(90),
                    0,
                    c != LoadBalancerHarness.IDEMPOTENT,
                    false);
            h.serviceClass = settings.classes().get(c);
            tracked.put(h.request.id(), h);
            pending.add(h);
            loadBalancer.onRequest(now, h.request, this);
        }

        private void updateList() {
            int id = 1 + random.nextInt(12);
            int roll = random.nextInt(6);
            if (roll == 0 && settings.pollsDiscovery()) {
                loadBalancer.onEndpointUpdate(now, EndpointUpdateKind.FAILED, List.of(), this);
            } else if (roll == 1) {
                send(
                        EndpointUpdateKind.SNAPSHOT,
                        List.copyOf(list.values().stream()
                                .filter(m -> m.state() != EndpointState.REMOVED)
                                .toList()));
            } else {
                send(
                        EndpointUpdateKind.DELTA,
                        List.of(LoadBalancerHarness.endpoint(
                                settings.cacheAside() && roll == 2 ? LoadBalancerHarness.ORIGIN : id,
                                EndpointState.values()[random.nextInt(3)],
                                random.nextBoolean() ? 0 : now)));
            }
        }

        private void disconnect() {
            if (!pending.isEmpty()) {
                TrackedRequest h = pending.get(random.nextInt(pending.size()));
                h.finished = true;
                loadBalancer.onClientDisconnected(now, h.request.id(), this);
            }
        }

        private void endSome() {
            for (TrackedRequest h : List.copyOf(pending)) {
                for (int a = 0; a < h.outcomes.size(); a++) {
                    if (h.outcomes.get(a) == null && random.nextInt(12) == 0) {
                        end(h, a, AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)]);
                    }
                }
            }
        }

        private void end(TrackedRequest h, int a, AttemptOutcome outcome) {
            h.outcomes.set(a, outcome);
            if (outcome == AttemptOutcome.OK) {
                h.finished = true;
            }
            loadBalancer.onAttemptEnd(
                    now,
                    new AttemptEnd(
                            h.request.id(),
                            a,
                            h.servers.get(a),
                            outcome,
                            now - h.sentAt.get(a),
                            h.finished,
                            random.nextInt(4),
                            null),
                    this);
        }

        @Override
        public void send(int request, int server, double timeoutMs) {
            TrackedRequest h = tracked.get(request);
            String what = "request " + request + " to " + server;
            assertThat(h.finished).as(what + " after its final answer").isFalse();
            assertThat(everListed).as(what + " was listed").contains(server);
            assertThat(list.get(server)).as(what + " is on the list").isNotNull();
            assertThat(list.get(server).state()).as(what).isEqualTo(EndpointState.READY);
            assertThat(h.servers.size()).as(what + ": attempts").isLessThan(settings.maxAttempts());
            assertThat(timeoutMs).as(what).isNotNegative();
            assertThat(h.inFlight() == 0 || settings.hedgingAllowed())
                    .as(what + " while another attempt is in flight")
                    .isTrue();
            int maybe = h.firstPossibleExecution();
            if (maybe >= 0) {
                assertThat(h.serviceClass.idempotency())
                        .as(what + " after a possible execution")
                        .isNotEqualTo(Idempotency.NON_IDEMPOTENT);
                if (h.serviceClass.idempotency() == Idempotency.KEYED) {
                    assertThat(now).as(what).isLessThan(h.sentAt.get(maybe) + h.serviceClass.deduplicationWindowMs());
                    int first = h.servers.get(maybe);
                    boolean same = switch (h.serviceClass.deduplicationScope()) {
                        case ALL -> true;
                        case ZONE -> first % 2 == server % 2;
                        case CELL -> first / 4 == server / 4;
                    };
                    assertThat(same)
                            .as(what + " stays in the scope of " + first)
                            .isTrue();
                }
            }
            h.servers.add(server);
            h.sentAt.add(now);
            h.outcomes.add(null);
            sent++;
            orders.add("send " + what + " " + timeoutMs);
        }

        private void answer(int request) {
            assertThat(tracked).containsKey(request);
            assertThat(tracked.get(request).finished)
                    .as("request %d answered twice", request)
                    .isFalse();
            tracked.get(request).finished = true;
            answered++;
        }

        @Override
        public void reject(int request, double retryAfterMs) {
            TrackedRequest h = tracked.get(request);
            if (h.firstPossibleExecution() >= 0) {
                assertThat(h.serviceClass.idempotency())
                        .as("rejection of %d", request)
                        .isEqualTo(Idempotency.IDEMPOTENT);
            }
            answer(request);
            orders.add("reject " + request);
        }

        @Override
        public void fail(int request) {
            answer(request);
            orders.add("fail " + request);
        }

        @Override
        public void cancel(int request, int attempt) {
            assertThat(attempt).isLessThan(tracked.get(request).servers.size());
            orders.add("cancel " + request + " " + attempt);
        }

        @Override
        public void setTimer(double afterMs, int token) {
            assertThat(afterMs).isNotNegative();
            timers.add(new double[] {now + afterMs, token});
        }

        @Override
        public void checkHealth(int server) {
            assertThat(settings.healthChecksAllowed()).isTrue();
            assertThat(everListed).contains(server);
            orders.add("check " + server);
        }

        @Override
        public void closeIdle(int server) {
            assertThat(everListed).contains(server);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            assertThat(settings.peerMessagesAllowed()).isTrue();
        }

        @Override
        public void setWatch(boolean on) {
            orders.add("watch");
        }

        @Override
        public void fetchEndpointList() {
            orders.add("fetch");
        }

        @Override
        public void log(String line) {
            orders.add(line);
        }
    }
}
